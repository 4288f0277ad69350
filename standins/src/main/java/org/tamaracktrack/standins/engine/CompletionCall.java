package org.tamaracktrack.standins.engine;

import io.undertow.server.HttpServerExchange;
import java.io.IOException;
import java.util.Optional;
import org.tamaracktrack.standins.http.Answers;
import org.tamaracktrack.standins.http.BadCallException;
import org.tamaracktrack.standins.http.Sha256;

/**
 * A request as read from the wire.
 *
 * @param requestId its identifier
 * @param model the model
 * @param adapter the adapter
 * @param priority its class's weight
 * @param prompt the prompt
 * @param promptHash the prompt's SHA-256 in hex
 * @param stream whether to answer as a stream
 * @param firstToken the first token wanted
 * @param tokens how many tokens the answer has
 */
record CompletionCall(
        String requestId,
        String model,
        Optional<String> adapter,
        int priority,
        String prompt,
        String promptHash,
        boolean stream,
        int firstToken,
        int tokens) {

    static CompletionCall read(HttpServerExchange exchange) throws IOException {
        CompletionRequest body = Answers.body(exchange, CompletionRequest.class);
        String model =
                Answers.header(exchange, "X-Model")
                        .orElseThrow(() -> BadCallException.of(400, "no_model"));
        String prompt = body.promptText();
        return new CompletionCall(
                Answers.header(exchange, "X-Request-Id").orElse(""),
                model,
                Answers.header(exchange, "X-Adapter").filter(adapter -> !adapter.isEmpty()),
                number(exchange, "X-Priority"),
                prompt,
                Sha256.hex(prompt),
                body.stream(),
                Math.min(number(exchange, "X-Resume-From-Token"), body.tokens() - 1),
                body.tokens());
    }

    private static int number(HttpServerExchange exchange, String header) {
        try {
            return Answers.header(exchange, header).map(Integer::parseInt).orElse(0);
        } catch (NumberFormatException wrong) {
            throw BadCallException.of(400, "bad_number");
        }
    }

    int promptTokens() {
        return AnswerText.tokens(prompt);
    }
}
