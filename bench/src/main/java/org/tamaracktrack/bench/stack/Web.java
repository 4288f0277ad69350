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

/** Small calls to control interfaces and to health pages. */
public final class Web {
    private static final int OK = 200;
    private static final Duration LIMIT = Duration.ofSeconds(5);
    private static final HttpClient CLIENT =
            HttpClient.newBuilder()
                    .version(HttpClient.Version.HTTP_1_1)
                    .connectTimeout(LIMIT)
                    .build();

    private Web() {}

    /**
     * Reads a page.
     *
     * @param address IP number and port
     * @param path the path
     * @return its text if the status is 200
     */
    public static Optional<String> get(String address, String path) {
        return get(request(address, path).build());
    }

    /**
     * Reads a page that needs a key.
     *
     * @param address IP number and port
     * @param path the path
     * @param key the client account's key
     * @return its text if the status is 200
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
     * Reads JSON.
     *
     * @param address IP number and port
     * @param path the path
     * @return the value
     * @throws StackException when there is none
     */
    public static JsonNode json(String address, String path) {
        String text =
                get(address, path)
                        .orElseThrow(() -> StackException.of("no answer: " + address + path));
        try {
            return Codecs.json().readTree(text);
        } catch (IOException wrong) {
            throw StackException.of("no JSON: " + address + path, wrong);
        }
    }

    /**
     * Puts JSON.
     *
     * @param address IP number and port
     * @param path the path
     * @param body the JSON text
     * @throws StackException when it is not taken
     */
    public static void put(String address, String path, String body) {
        HttpRequest request =
                request(address, path).PUT(HttpRequest.BodyPublishers.ofString(body)).build();
        try {
            int status = send(request).statusCode();
            if (status != OK) {
                throw StackException.of("status " + status + ": " + address + path);
            }
        } catch (IOException unreachable) {
            throw StackException.of("no answer: " + address + path, unreachable);
        }
    }

    private static HttpRequest.Builder request(String address, String path) {
        return HttpRequest.newBuilder(URI.create("http://" + address + path)).timeout(LIMIT);
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
