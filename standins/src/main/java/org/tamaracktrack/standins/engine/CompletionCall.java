package org.tamaracktrack.standins.engine;

import io.undertow.server.HttpServerExchange;
import java.io.IOException;
import java.util.Optional;
import org.tamaracktrack.standins.http.HttpErrorException;
import org.tamaracktrack.standins.http.HttpExchanges;
import org.tamaracktrack.standins.http.Sha256;

/**
 * A completion request, as read from its headers and body.
 *
 * @param requestId the identifier of the request
 * @param model the model
 * @param adapter the adapter; empty for the base model
 * @param priority the weight of the request class
 * @param prompt the prompt
 * @param promptHash the SHA-256 hash of the prompt in hexadecimal
 * @param stream whether to respond with a stream
 * @param firstToken the index of the first requested token
 * @param tokens the number of tokens of the complete answer
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
        CompletionRequest body = HttpExchanges.readBody(exchange, CompletionRequest.class);
        String model =
                HttpExchanges.header(exchange, "X-Model")
                        .orElseThrow(() -> HttpErrorException.of(400, "no_model"));
        String prompt = body.promptText();
        return new CompletionCall(
                HttpExchanges.header(exchange, "X-Request-Id").orElse(""),
                model,
                HttpExchanges.header(exchange, "X-Adapter").filter(adapter -> !adapter.isEmpty()),
                number(exchange, "X-Priority"),
                prompt,
                Sha256.hex(prompt),
                body.stream(),
                Math.min(number(exchange, "X-Resume-From-Token"), body.tokens() - 1),
                body.tokens());
    }

    private static int number(HttpServerExchange exchange, String header) {
        try {
            return HttpExchanges.header(exchange, header).map(Integer::parseInt).orElse(0);
        } catch (NumberFormatException failure) {
            throw HttpErrorException.of(400, "bad_number");
        }
    }

    int promptTokens() {
        return AnswerText.tokenCount(prompt);
    }
}
