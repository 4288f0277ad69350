package org.tamaracktrack.standins.engine;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.tamaracktrack.link.codec.Codecs;
import org.tamaracktrack.standins.http.ResponseTruncator;

/** Writes the response to one completion request, as one JSON document or as an event stream. */
final class CompletionWriter {
    private static final String CHAT = "/v1/chat/completions";
    private static final byte[] DONE = "data: [DONE]\n\n".getBytes(StandardCharsets.UTF_8);
    private static final byte[] DATA = "data: ".getBytes(StandardCharsets.UTF_8);
    private static final byte[] END = "\n\n".getBytes(StandardCharsets.UTF_8);

    private final CompletionCall call;
    private final boolean chat;
    private final HttpServerExchange exchange;
    private final ResponseTruncator truncator;
    private final StringBuilder text = new StringBuilder();
    private OutputStream output;

    private CompletionWriter(
            CompletionCall call, HttpServerExchange exchange, ResponseTruncator truncator) {
        this.call = call;
        this.chat = exchange.getRequestPath().equals(CHAT);
        this.exchange = exchange;
        this.truncator = truncator;
    }

    static CompletionWriter begin(
            CompletionCall call, HttpServerExchange exchange, ResponseTruncator truncator) {
        CompletionWriter writer = new CompletionWriter(call, exchange, truncator);
        writer.begin();
        return writer;
    }

    private void begin() {
        exchange.getResponseHeaders()
                .put(
                        Headers.CONTENT_TYPE,
                        call.stream() ? "text/event-stream" : "application/json");
        if (call.stream()) {
            output = truncator.output(exchange);
        }
    }

    void writeToken(int index, boolean last) throws IOException {
        String token = AnswerText.token(call.promptHash(), index);
        if (!call.stream()) {
            text.append(token);
            return;
        }
        output.write(DATA);
        output.write(Codecs.encode(Codecs.json(), event(token, last)));
        output.write(END);
        output.flush();
    }

    void finish() throws IOException {
        if (call.stream()) {
            output.write(DONE);
        } else {
            byte[] bytes = Codecs.encode(Codecs.json(), completion());
            exchange.setResponseContentLength(bytes.length);
            output = truncator.output(exchange);
            output.write(bytes);
        }
        output.close();
    }

    private Map<String, Object> event(String token, boolean last) {
        Map<String, Object> event =
                responseBody(
                        chat ? "chat.completion.chunk" : "text_completion", choice(token, last));
        if (last) {
            event.put("usage", usage());
        }
        return event;
    }

    private Map<String, Object> completion() {
        Map<String, Object> body =
                responseBody(
                        chat ? "chat.completion" : "text_completion",
                        chat
                                ? choice(
                                        "message",
                                        Map.of("role", "assistant", "content", text.toString()),
                                        true)
                                : choice("text", text.toString(), true));
        body.put("usage", usage());
        return body;
    }

    private Map<String, Object> choice(String token, boolean last) {
        return chat ? choice("delta", Map.of("content", token), last) : choice("text", token, last);
    }

    private static Map<String, Object> choice(String field, Object content, boolean last) {
        Map<String, Object> choice = new LinkedHashMap<>();
        choice.put("index", 0);
        choice.put(field, content);
        choice.put("finish_reason", last ? "stop" : null);
        return choice;
    }

    private Map<String, Object> responseBody(String object, Map<String, Object> choice) {
        Map<String, Object> body = new LinkedHashMap<>();
        body.put("id", call.requestId());
        body.put("object", object);
        body.put("model", call.model());
        body.put("adapter", call.adapter().orElse(null));
        body.put("prompt_sha256", call.promptHash());
        body.put("choices", List.of(choice));
        return body;
    }

    private Map<String, Integer> usage() {
        return Map.of(
                "prompt_tokens", call.promptTokens(),
                "completion_tokens", call.tokens(),
                "total_tokens", call.promptTokens() + call.tokens());
    }
}
