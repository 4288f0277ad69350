package org.tamaracktrack.link.http;

import java.io.ByteArrayOutputStream;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

/** Collects a response and its whole body in memory. */
final class ResponseCollector implements HttpListener {
    private static final int MAXIMUM_RESPONSE_BYTES = 64 * 1024 * 1024;

    private final CompletableFuture<HttpResponse> response = new CompletableFuture<>();
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private int status;
    private Map<String, String> headers = Map.of();

    CompletableFuture<HttpResponse> response() {
        return response;
    }

    @Override
    public void onHead(int receivedStatus, Map<String, String> receivedHeaders) {
        status = receivedStatus;
        headers = receivedHeaders;
    }

    @Override
    public void onBytes(byte[] bytes) {
        // A faulty server could send an endless body. Beyond the limit the call fails instead of
        // filling the heap, and further bytes are discarded until the timeout closes the
        // connection.
        if (body.size() + bytes.length > MAXIMUM_RESPONSE_BYTES) {
            onFailure(HttpFailure.ANSWER_CUT);
            return;
        }
        body.writeBytes(bytes);
    }

    @Override
    public void onEnd() {
        response.complete(new HttpResponse(status, headers, body.toByteArray()));
    }

    @Override
    public void onFailure(HttpFailure failure) {
        response.completeExceptionally(HttpCallException.of(failure, failure.text()));
    }
}
