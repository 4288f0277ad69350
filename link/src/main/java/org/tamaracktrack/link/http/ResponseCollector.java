package org.tamaracktrack.link.http;

import java.io.ByteArrayOutputStream;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.jboss.logging.Logger;

/** Collects a response and its whole body in memory. */
final class ResponseCollector implements HttpListener {
    private static final Logger LOG = Logger.getLogger("tamaracktrack.http");

    private static final int MAXIMUM_RESPONSE_BYTES = 64 * 1024 * 1024;

    private final InetSocketAddress address;
    private final AnswerMemory memory;
    private final CompletableFuture<HttpResponse> response = new CompletableFuture<>();
    private final CompletableFuture<HttpStream> stream = new CompletableFuture<>();
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private int status;
    private Map<String, String> headers = Map.of();

    private ResponseCollector(InetSocketAddress address, AnswerMemory memory) {
        this.address = address;
        this.memory = memory;
    }

    static ResponseCollector of(InetSocketAddress address, AnswerMemory memory) {
        return new ResponseCollector(address, memory);
    }

    CompletableFuture<HttpResponse> response() {
        return response;
    }

    /** Sets the call whose response is collected, so that it can be ended. */
    void attach(HttpStream started) {
        stream.complete(started);
    }

    @Override
    public void onHead(int receivedStatus, Map<String, String> receivedHeaders) {
        status = receivedStatus;
        headers = receivedHeaders;
    }

    @Override
    public void onBytes(byte[] bytes) {
        if (response.isDone()) {
            return;
        }
        // A faulty server could send an endless body.
        if (body.size() + bytes.length > MAXIMUM_RESPONSE_BYTES) {
            reject(AnswerRejection.Reason.BODY_BYTES);
        } else if (!memory.tryReserve(bytes.length)) {
            reject(AnswerRejection.Reason.BUFFERED_BYTES);
        } else {
            body.writeBytes(bytes);
        }
    }

    private void reject(AnswerRejection.Reason reason) {
        onRejected(new AnswerRejection(address, reason, body.size()));
        onFailure(HttpFailure.ANSWER_INVALID);
        stream.thenAccept(HttpStream::cancel);
    }

    @Override
    public void onEnd() {
        if (!response.isDone()) {
            memory.release(body.size());
            response.complete(new HttpResponse(status, headers, body.toByteArray()));
        }
    }

    @Override
    public void onRejected(AnswerRejection rejection) {
        LOG.warn(
                "event=answer-rejected address="
                        + rejection.address()
                        + " reason="
                        + rejection.reason().text()
                        + " bytes="
                        + rejection.bytes());
    }

    @Override
    public void onFailure(HttpFailure failure) {
        if (!response.isDone()) {
            memory.release(body.size());
            response.completeExceptionally(HttpCallException.of(failure, failure.text()));
        }
    }
}
