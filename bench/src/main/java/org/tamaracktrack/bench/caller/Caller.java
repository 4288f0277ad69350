package org.tamaracktrack.bench.caller;

import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiFunction;

/** Sends requests and checks the answers. Instances are thread-safe. */
public final class Caller {
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(5);

    private final HttpClient client;

    private Caller(HttpClient client) {
        this.client = client;
    }

    /**
     * Returns a caller with an HTTP client of its own.
     *
     * @return the caller
     */
    public static Caller of() {
        return new Caller(
                HttpClient.newBuilder()
                        .version(HttpClient.Version.HTTP_1_1)
                        .connectTimeout(CONNECT_TIMEOUT)
                        .build());
    }

    /**
     * Sends a request to a model.
     *
     * @param address IP address and port of the entry daemon or engine
     * @param request the request
     * @return completes with the observation, also when the connection fails
     */
    public CompletableFuture<Observation> send(String address, ModelRequest request) {
        return send(address, request, () -> {});
    }

    /**
     * Sends a request to a model and reports the first byte of the answer.
     *
     * @param address IP address and port of the entry daemon or engine
     * @param request the request
     * @param onFirstByte runs when the first bytes of the body are received
     * @return completes with the observation, also when the connection fails
     */
    public CompletableFuture<Observation> send(
            String address, ModelRequest request, Runnable onFirstByte) {
        Objects.requireNonNull(request, "request is null");
        return send(
                request.toHttp(address),
                onFirstByte,
                (status, body) -> AnswerCheck.check(request, status, body));
    }

    /**
     * Sends a request to a plain service through an entry daemon.
     *
     * @param address IP address and port of the entry daemon
     * @param request the request
     * @return completes with the observation, also when the connection fails
     */
    public CompletableFuture<Observation> send(String address, ServiceRequest request) {
        Objects.requireNonNull(request, "request is null");
        return send(
                request.toHttp(address),
                () -> {},
                (status, body) -> AnswerCheck.check(request, status, body));
    }

    /**
     * Sends a request directly to a plain service, bypassing the daemons.
     *
     * @param address IP address and port of the service
     * @param request the request
     * @return completes with the observation, also when the connection fails
     */
    public CompletableFuture<Observation> sendDirect(String address, ServiceRequest request) {
        Objects.requireNonNull(request, "request is null");
        return send(
                request.toDirectHttp(address),
                () -> {},
                (status, body) -> AnswerCheck.check(request, status, body));
    }

    private CompletableFuture<Observation> send(
            HttpRequest request, Runnable onFirstByte, BiFunction<Integer, byte[], Outcome> check) {
        long start = System.nanoTime();
        return client.sendAsync(request, responseInfo -> new TimedBody(onFirstByte))
                .handle(
                        (answer, failure) ->
                                failure == null
                                        ? observeAnswer(start, answer, check)
                                        : observeFailure(start, failure));
    }

    private static Observation observeAnswer(
            long start,
            HttpResponse<TimedBody.Body> answer,
            BiFunction<Integer, byte[], Outcome> check) {
        long end = System.nanoTime();
        byte[] body = answer.body().bytes();
        Outcome outcome = check.apply(answer.statusCode(), body);
        String code = outcome == Outcome.WHOLE ? "" : AnswerCheck.errorCode(body);
        long firstByte = answer.body().firstByteNanos();
        return new Observation(
                outcome, answer.statusCode(), code, start, firstByte == 0 ? end : firstByte, end);
    }

    private static Observation observeFailure(long start, Throwable failure) {
        Throwable cause = failure.getCause() == null ? failure : failure.getCause();
        long end = System.nanoTime();
        String code = cause.getClass().getSimpleName();
        return new Observation(Outcome.BROKEN, 0, code, start, end, end);
    }
}
