package org.tamaracktrack.bench.caller;

import java.net.http.HttpResponse;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Flow;

/** Body subscriber that collects the body and records when its first bytes were received. */
final class TimedBody implements HttpResponse.BodySubscriber<TimedBody.Body> {
    private final HttpResponse.BodySubscriber<byte[]> bytes =
            HttpResponse.BodySubscribers.ofByteArray();
    private final Runnable onFirstByte;
    private volatile long firstByteNanos;

    TimedBody(Runnable onFirstByte) {
        this.onFirstByte = onFirstByte;
    }

    record Body(byte[] bytes, long firstByteNanos) {}

    @Override
    public CompletionStage<Body> getBody() {
        return bytes.getBody().thenApply(content -> new Body(content, firstByteNanos));
    }

    @Override
    public void onSubscribe(Flow.Subscription subscription) {
        bytes.onSubscribe(subscription);
    }

    @Override
    public void onNext(List<ByteBuffer> buffers) {
        if (firstByteNanos == 0) {
            firstByteNanos = System.nanoTime();
            onFirstByte.run();
        }
        bytes.onNext(buffers);
    }

    @Override
    public void onError(Throwable failure) {
        bytes.onError(failure);
    }

    @Override
    public void onComplete() {
        bytes.onComplete();
    }
}
