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
 * A chat-completion request to a model.
 *
 * @param caller the client account that sends it
 * @param model the model
 * @param adapter the adapter to use, if any
 * @param requestClass the request class
 * @param prompt the prompt; must be unique, because runs are counted by its hash
 * @param tokens the number of tokens of the answer
 * @param stream whether the answer is streamed
 * @param idempotent whether the request may run more than once
 * @param idempotencyKey the idempotency key, if any, of a request that must not run more than once
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
     * Returns an idempotent interactive request for 8 tokens, not streamed.
     *
     * @param caller the client account that sends it
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
     * Returns a copy of this request that uses an adapter.
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
     * Returns a copy of this request whose answer is streamed.
     *
     * @param length the number of tokens of the answer
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
     * Returns a copy of this request that must not run more than once.
     *
     * @param key the idempotency key, if any
     * @return the request
     */
    public ModelRequest nonIdempotent(Optional<String> key) {
        return new ModelRequest(
                caller, model, adapter, requestClass, prompt, tokens, stream, false, key);
    }

    /**
     * Returns a copy of this request in another request class.
     *
     * @param name the request class
     * @return the request
     */
    public ModelRequest withRequestClass(String name) {
        return new ModelRequest(
                caller, model, adapter, name, prompt, tokens, stream, idempotent, idempotencyKey);
    }

    /**
     * Returns the prompt hash that a correct answer contains.
     *
     * @return the prompt's SHA-256 in hexadecimal
     */
    public String promptHash() {
        return Sha256.hex(prompt);
    }

    /**
     * Returns the HTTP request to send.
     *
     * @param address IP address and port of the entry daemon or engine
     * @return the HTTP request
     */
    public HttpRequest toHttp(String address) {
        String name = adapter.map(adapterName -> model + "+" + adapterName).orElse(model);
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
                        // Engines need this header when the request is sent to them directly.
                        .header("X-Model", model)
                        .POST(HttpRequest.BodyPublishers.ofByteArray(body));
        idempotencyKey.ifPresent(key -> builder.header("Idempotency-Key", key));
        return builder.build();
    }
}
