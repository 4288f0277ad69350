package org.tamaracktrack.bench.caller;

import java.net.URI;
import java.net.http.HttpRequest;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import org.tamaracktrack.link.codec.Codecs;
import org.tamaracktrack.standins.http.Sha256;

/**
 * A request to a model.
 *
 * @param caller who asks
 * @param model the model
 * @param adapter the adapter, if one is wanted
 * @param requestClass the request class
 * @param prompt the prompt, different for each request
 * @param tokens how many tokens the answer is to have
 * @param stream whether the answer is to be a stream
 * @param idempotent whether it may be run again
 * @param idempotencyKey the key of a request that may not be repeated
 */
public record ModelRequest(
        CallerKey caller,
        String model,
        Optional<String> adapter,
        String requestClass,
        String prompt,
        int tokens,
        boolean stream,
        boolean idempotent,
        Optional<String> idempotencyKey) {

    private static final Duration TIMEOUT = Duration.ofSeconds(60);

    /** Checks the arguments. */
    public ModelRequest {
        Objects.requireNonNull(caller, "caller is null");
        Objects.requireNonNull(model, "model is null");
        Objects.requireNonNull(prompt, "prompt is null");
    }

    /**
     * Returns an interactive request that may be run again.
     *
     * @param caller who asks
     * @param model the model
     * @param prompt the prompt
     * @return the request
     */
    public static ModelRequest of(CallerKey caller, String model, String prompt) {
        return new ModelRequest(
                caller,
                model,
                Optional.empty(),
                "interactive",
                prompt,
                8,
                false,
                true,
                Optional.empty());
    }

    /**
     * Returns the same request with an adapter.
     *
     * @param name the adapter
     * @return the request
     */
    public ModelRequest withAdapter(String name) {
        return new ModelRequest(
                caller,
                model,
                Optional.of(name),
                requestClass,
                prompt,
                tokens,
                stream,
                idempotent,
                idempotencyKey);
    }

    /**
     * Returns the same request for a stream.
     *
     * @param length how many tokens the stream is to have
     * @return the request
     */
    public ModelRequest streamed(int length) {
        return new ModelRequest(
                caller,
                model,
                adapter,
                requestClass,
                prompt,
                length,
                true,
                idempotent,
                idempotencyKey);
    }

    /**
     * Returns the same request, not to be run again.
     *
     * @param key its idempotency key
     * @return the request
     */
    public ModelRequest nonIdempotent(Optional<String> key) {
        return new ModelRequest(
                caller, model, adapter, requestClass, prompt, tokens, stream, false, key);
    }

    /**
     * Returns the same request in another class.
     *
     * @param name the class
     * @return the request
     */
    public ModelRequest withRequestClass(String name) {
        return new ModelRequest(
                caller, model, adapter, name, prompt, tokens, stream, idempotent, idempotencyKey);
    }

    /**
     * Returns the hash that the answer has to carry.
     *
     * @return the prompt's SHA-256 in hex
     */
    public String promptHash() {
        return Sha256.hex(prompt);
    }

    /**
     * Returns the request as HTTP.
     *
     * @param address IP number and port of the server
     * @return the request
     */
    public HttpRequest toHttp(String address) {
        String name = adapter.map(used -> model + "+" + used).orElse(model);
        byte[] body =
                Codecs.encode(
                        Codecs.json(),
                        Map.of(
                                "model", name,
                                "messages", List.of(Map.of("role", "user", "content", prompt)),
                                "max_tokens", tokens,
                                "stream", stream));
        HttpRequest.Builder builder =
                HttpRequest.newBuilder(URI.create("http://" + address + "/v1/chat/completions"))
                        .timeout(TIMEOUT)
                        .header("Authorization", "Bearer " + caller.key())
                        .header("Content-Type", "application/json")
                        .header("X-Request-Class", requestClass)
                        .header("X-Idempotent", Boolean.toString(idempotent))
                        // What the engine needs when it is called without the system between.
                        .header("X-Model", model)
                        .POST(HttpRequest.BodyPublishers.ofByteArray(body));
        idempotencyKey.ifPresent(key -> builder.header("Idempotency-Key", key));
        return builder.build();
    }
}
