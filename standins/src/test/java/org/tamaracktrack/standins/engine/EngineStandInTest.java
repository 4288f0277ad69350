package org.tamaracktrack.standins.engine;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.tamaracktrack.link.codec.Codecs;
import org.tamaracktrack.standins.http.Sha256;
import org.tamaracktrack.standins.http.StandInServer;

@Timeout(20)
class EngineStandInTest {
    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private StandInServer server;

    @BeforeEach
    void start() throws Exception {
        AcceleratorMemory memory = AcceleratorMemory.of(0, false);
        memory.addAccelerator("a0", 100);
        server =
                StandInServer.start(
                        EngineStandIn.of(
                                memory,
                                OrderTracker.of(true),
                                BatchScheduler.of(BatchCosts.of(1, 0, 1), 4, 4),
                                PrefixCache.of(4),
                                FixedDelayWeightSource.of(1),
                                1,
                                0),
                        0,
                        0);
        assertThat(order("o1", 5, "load_model").statusCode()).isEqualTo(202);
        awaitInventory(json -> json.at("/models/0/state").asText().equals("ready"));
    }

    @AfterEach
    void stop() {
        server.close();
    }

    private HttpRequest.Builder request(String path) {
        return HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + server.port() + path));
    }

    private HttpResponse<String> send(HttpRequest request) throws Exception {
        return client.send(request, HttpResponse.BodyHandlers.ofString());
    }

    private HttpResponse<String> order(String id, long fencing, String kind) throws Exception {
        String body =
                "{\"orderId\":\"%s\",\"fencing\":%d,\"kind\":\"%s\",\"accelerator\":\"a0\","
                        + "\"model\":\"m\",\"version\":\"1\",\"mebibytes\":10,"
                        + "\"issuedAtMillis\":%d,\"lifetimeMillis\":10000}";
        String text = String.format(body, id, fencing, kind, System.currentTimeMillis());
        return send(
                request("/admin/orders").POST(HttpRequest.BodyPublishers.ofString(text)).build());
    }

    private HttpRequest completion(String body) {
        return request("/v1/completions")
                .header("X-Model", "m")
                .header("X-Request-Id", "r")
                .POST(HttpRequest.BodyPublishers.ofString(body))
                .build();
    }

    private JsonNode json(HttpResponse<String> response) {
        return Codecs.decode(
                Codecs.json(), response.body().getBytes(StandardCharsets.UTF_8), JsonNode.class);
    }

    private void awaitInventory(Predicate<JsonNode> condition) throws Exception {
        JsonNode inventory = json(send(request("/admin/inventory").build()));
        while (!condition.test(inventory)) {
            inventory = json(send(request("/admin/inventory").build()));
        }
    }

    private void control(String path, String body) throws Exception {
        URI uri = URI.create("http://127.0.0.1:" + server.controlPort() + path);
        HttpRequest put =
                HttpRequest.newBuilder(uri).PUT(HttpRequest.BodyPublishers.ofString(body)).build();
        assertThat(send(put).statusCode()).isEqualTo(200);
    }

    @Test
    void shouldReturnThePromptHashInACompleteResponse() throws Exception {
        HttpResponse<String> response = send(completion("{\"prompt\":\"hello\",\"max_tokens\":3}"));
        assertThat(response.statusCode()).isEqualTo(200);
        assertThat(json(response).get("prompt_sha256").asText()).isEqualTo(Sha256.hex("hello"));
        assertThat(json(response).at("/usage/completion_tokens").asInt()).isEqualTo(3);
    }

    @Test
    void shouldResumeAStreamFromTheRequestedToken() throws Exception {
        String body = "{\"prompt\":\"hello\",\"max_tokens\":4,\"stream\":true}";
        String whole = send(completion(body)).body();
        HttpRequest resumed =
                HttpRequest.newBuilder(completion(body), (name, value) -> true)
                        .header("X-Resume-From-Token", "2")
                        .build();
        String rest = send(resumed).body();
        assertThat(whole).endsWith(rest);
        assertThat(rest.split("\n\n")).hasLength(3);
    }

    @Test
    void shouldTruncateOneResponseWhenSetToDoSo() throws Exception {
        control("/control/cut", "{\"afterBytes\":10,\"count\":1}");
        HttpRequest request = completion("{\"prompt\":\"hello\"}");
        assertThrows(IOException.class, () -> send(request));
        assertThat(send(request).statusCode()).isEqualTo(200);
    }

    @Test
    void shouldRespondOnlyAfterItIsUnfrozen() throws Exception {
        control("/control/freeze", "{\"on\":true}");
        CompletableFuture<HttpResponse<String>> response =
                client.sendAsync(
                        completion("{\"prompt\":\"hello\"}"), HttpResponse.BodyHandlers.ofString());
        JsonNode state = control("/control/runs");
        assertThat(state.get("runs").isEmpty()).isTrue();
        control("/control/freeze", "{\"on\":false}");
        assertThat(response.get(5, TimeUnit.SECONDS).statusCode()).isEqualTo(200);
    }

    private JsonNode control(String path) throws Exception {
        URI uri = URI.create("http://127.0.0.1:" + server.controlPort() + path);
        return json(send(HttpRequest.newBuilder(uri).build()));
    }

    @Test
    void shouldRejectAnOrderWithAnOldFencingNumber() throws Exception {
        HttpResponse<String> response = order("o2", 4, "unload_model");
        assertThat(response.statusCode()).isEqualTo(409);
        assertThat(response.body()).contains("fenced");
    }

    @Test
    void shouldLoseOneOrderWhenSetToDoSo() throws Exception {
        control("/control/orders", "{\"lose\":1,\"delayMillis\":0,\"double\":0}");
        assertThat(order("o2", 6, "unload_model").statusCode()).isEqualTo(202);
        JsonNode state = control("/control/state");
        assertThat(state.get("highestFencing").asLong()).isEqualTo(5);
    }

    @Test
    void shouldCancelTheRequestWhenTheClientDisconnects() throws Exception {
        // The client closes its connection while a long response that isn't streamed is generated.
        // Nothing is written to the connection before the end, so only a read can detect the
        // disconnect. Without it, the batch would go on to generate 100,000 tokens that nobody
        // receives.
        try (Socket socket = new Socket("127.0.0.1", server.port())) {
            String body = "{\"prompt\":\"hello\",\"max_tokens\":100000}";
            String head =
                    String.join(
                            "\r\n",
                            Arrays.asList(
                                    "POST /v1/completions HTTP/1.1",
                                    "Host: engine",
                                    "X-Model: m",
                                    "Content-Length: " + body.length(),
                                    "",
                                    body));
            socket.getOutputStream().write(head.getBytes(StandardCharsets.UTF_8));
            awaitInventory(json -> json.at("/load/running").asInt() == 1);
        }
        awaitInventory(json -> json.at("/load/running").asInt() == 0);
    }
}
