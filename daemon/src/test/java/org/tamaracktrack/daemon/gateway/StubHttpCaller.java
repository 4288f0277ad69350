package org.tamaracktrack.daemon.gateway;

import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;
import org.tamaracktrack.link.http.HttpCall;
import org.tamaracktrack.link.http.HttpCaller;
import org.tamaracktrack.link.http.HttpResponse;
import org.tamaracktrack.link.http.HttpStream;

/** A caller that opens no connections; a test defines what becomes of a call. */
abstract class StubHttpCaller implements HttpCaller {
    /** A stream that transfers no bytes. */
    static final HttpStream IDLE_STREAM =
            new HttpStream() {
                @Override
                public void pause() {
                    // No bytes are transferred.
                }

                @Override
                public void resume() {
                    // No bytes are transferred.
                }

                @Override
                public void cancel() {
                    // No bytes are transferred.
                }
            };

    @Override
    public HttpResponse call(HttpCall call) {
        throw new AssertionError("unexpected blocking call");
    }

    @Override
    public CompletableFuture<Boolean> answersConnections(
            InetSocketAddress address, long limitMillis) {
        return CompletableFuture.completedFuture(true);
    }

    @Override
    public CompletableFuture<Boolean> refusesConnections(
            InetSocketAddress address, long limitMillis) {
        return CompletableFuture.completedFuture(false);
    }

    @Override
    public void limitConnections(InetSocketAddress address, int maximumConnections) {}

    @Override
    public void close() {
        // Nothing is open.
    }
}
