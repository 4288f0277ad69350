package org.tamaracktrack.bench.stack;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.Optional;
import org.tamaracktrack.link.codec.Codecs;

/** Blocking HTTP calls to control interfaces and health endpoints, with a time-out of 5 seconds. */
public final class SimpleHttpClient {
    private static final int OK = 200;
    private static final Duration TIMEOUT = Duration.ofSeconds(5);
    private static final HttpClient CLIENT =
            HttpClient.newBuilder()
                    .version(HttpClient.Version.HTTP_1_1)
                    .connectTimeout(TIMEOUT)
                    .build();

    private SimpleHttpClient() {}

    /**
     * Sends a GET request.
     *
     * @param address IP address and port
     * @param path the path
     * @return the body, or empty when the status is not 200 or the server can't be reached
     */
    public static Optional<String> get(String address, String path) {
        return get(request(address, path).build());
    }

    /**
     * Sends a GET request with the key of a client account.
     *
     * @param address IP address and port
     * @param path the path
     * @param key the client account's key
     * @return the body, or empty when the status is not 200 or the server can't be reached
     */
    public static Optional<String> get(String address, String path, String key) {
        return get(request(address, path).header("Authorization", "Bearer " + key).build());
    }

    private static Optional<String> get(HttpRequest request) {
        try {
            HttpResponse<String> answer = send(request);
            return answer.statusCode() == OK ? Optional.of(answer.body()) : Optional.empty();
        } catch (IOException unreachable) {
            return Optional.empty();
        }
    }

    /**
     * Sends a GET request and parses the answer as JSON.
     *
     * @param address IP address and port
     * @param path the path
     * @return the JSON value
     * @throws StackException when there is no answer with status 200, or it is not JSON
     */
    public static JsonNode getJson(String address, String path) {
        String text =
                get(address, path)
                        .orElseThrow(
                                () ->
                                        StackException.of(
                                                "no answer with status 200 from "
                                                        + address
                                                        + path));
        try {
            return Codecs.json().readTree(text);
        } catch (IOException invalid) {
            throw StackException.of("answer is not JSON: " + address + path, invalid);
        }
    }

    /**
     * Sends a PUT request with a JSON body.
     *
     * @param address IP address and port
     * @param path the path
     * @param body the JSON text
     * @throws StackException when the server can't be reached or the status is not 200
     */
    public static void putJson(String address, String path, String body) {
        HttpRequest request =
                request(address, path).PUT(HttpRequest.BodyPublishers.ofString(body)).build();
        try {
            int status = send(request).statusCode();
            if (status != OK) {
                throw StackException.of(
                        "PUT answered with status " + status + ": " + address + path);
            }
        } catch (IOException unreachable) {
            throw StackException.of("PUT not answered: " + address + path, unreachable);
        }
    }

    private static HttpRequest.Builder request(String address, String path) {
        return HttpRequest.newBuilder(URI.create("http://" + address + path)).timeout(TIMEOUT);
    }

    private static HttpResponse<String> send(HttpRequest request) throws IOException {
        try {
            return CLIENT.send(request, HttpResponse.BodyHandlers.ofString());
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted", interrupted);
        }
    }
}
