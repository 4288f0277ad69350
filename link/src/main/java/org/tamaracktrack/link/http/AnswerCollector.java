package org.tamaracktrack.link.http;

import java.io.ByteArrayOutputStream;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

/** Gathers a whole answer. */
final class AnswerCollector implements HttpListener {
    private static final int MAXIMUM_ANSWER_BYTES = 64 * 1024 * 1024;

    private final CompletableFuture<HttpResponse> answer = new CompletableFuture<>();
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private int status;
    private Map<String, String> headers = Map.of();

    CompletableFuture<HttpResponse> answer() {
        return answer;
    }

    @Override
    public void onHead(int receivedStatus, Map<String, String> receivedHeaders) {
        status = receivedStatus;
        headers = receivedHeaders;
    }

    @Override
    public void onBytes(byte[] bytes) {
        // A broken server could send without end; past the bound the call fails instead of
        // filling the heap, and what still arrives is dropped until the timeout closes it.
        if (body.size() + bytes.length > MAXIMUM_ANSWER_BYTES) {
            onFailure(HttpFailure.ANSWER_CUT);
            return;
        }
        body.writeBytes(bytes);
    }

    @Override
    public void onEnd() {
        answer.complete(new HttpResponse(status, headers, body.toByteArray()));
    }

    @Override
    public void onFailure(HttpFailure failure) {
        answer.completeExceptionally(HttpCallException.of(failure, failure.text()));
    }
}
