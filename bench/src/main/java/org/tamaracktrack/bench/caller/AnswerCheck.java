package org.tamaracktrack.bench.caller;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.tamaracktrack.link.codec.Codecs;
import org.tamaracktrack.standins.engine.AnswerText;
import org.tamaracktrack.standins.http.Sha256;

/** Checks whether an answer is complete and belongs to its request. */
public final class AnswerCheck {
    private static final int OK = 200;
    private static final String DATA_PREFIX = "data: ";
    private static final String DONE_EVENT = "[DONE]";

    private AnswerCheck() {}

    /**
     * Checks the answer to a model request: the model, the adapter, the prompt hash, the text and
     * the token count. A streamed answer must also end with the {@code [DONE]} event.
     *
     * @param request the request
     * @param status the HTTP status of the answer
     * @param body the received body
     * @return the outcome for the caller
     */
    public static Outcome check(ModelRequest request, int status, byte[] body) {
        if (status != OK) {
            return errorOutcome(body);
        }
        boolean valid =
                request.stream()
                        ? isCompleteStream(request, body)
                        : isCompleteAnswer(request, body);
        return valid ? Outcome.WHOLE : Outcome.WRONG;
    }

    /**
     * Checks the answer of a plain service, which repeats service, method, path and body hash of
     * the request.
     *
     * @param request the request
     * @param status the HTTP status of the answer
     * @param body the received body
     * @return the outcome for the caller
     */
    public static Outcome check(ServiceRequest request, int status, byte[] body) {
        if (status != OK) {
            return errorOutcome(body);
        }
        boolean valid =
                parseJson(body)
                        .filter(answer -> fieldText(answer, "service").equals(request.service()))
                        .filter(answer -> fieldText(answer, "method").equals(request.method()))
                        .filter(answer -> fieldText(answer, "path").equals(request.path()))
                        .filter(
                                answer ->
                                        fieldText(answer, "body_sha256")
                                                .equals(Sha256.hex(request.body())))
                        .isPresent();
        return valid ? Outcome.WHOLE : Outcome.WRONG;
    }

    /**
     * Returns the error code of an error body.
     *
     * @param body the received body
     * @return the code, or an empty string when the body has none
     */
    public static String errorCode(byte[] body) {
        return parseJson(body).map(answer -> answer.at("/error/code").asText("")).orElse("");
    }

    private static Outcome errorOutcome(byte[] body) {
        String ran = parseJson(body).map(answer -> answer.at("/error/ran").asText("")).orElse("");
        return ran.equals("no") ? Outcome.NOT_RUN : Outcome.MAY_HAVE_RUN;
    }

    private static boolean isCompleteAnswer(ModelRequest request, byte[] body) {
        return parseJson(body)
                .filter(answer -> answersRequest(request, answer))
                .filter(
                        answer ->
                                answer.at("/choices/0/message/content")
                                        .asText()
                                        .equals(expectedText(request)))
                .filter(answer -> hasExpectedTokenCount(request, answer))
                .isPresent();
    }

    private static boolean isCompleteStream(ModelRequest request, byte[] body) {
        List<String> events =
                Arrays.stream(new String(body, StandardCharsets.UTF_8).split("\n\n"))
                        .filter(event -> event.startsWith(DATA_PREFIX))
                        .map(event -> event.substring(DATA_PREFIX.length()))
                        .toList();
        if (events.isEmpty() || !events.get(events.size() - 1).equals(DONE_EVENT)) {
            return false;
        }
        List<Optional<JsonNode>> answers =
                events.stream()
                        .limit(events.size() - 1L)
                        .map(event -> parseJson(event.getBytes(StandardCharsets.UTF_8)))
                        .toList();
        String text =
                answers.stream()
                        .flatMap(Optional::stream)
                        .filter(answer -> answersRequest(request, answer))
                        .map(answer -> answer.at("/choices/0/delta/content").asText())
                        .collect(Collectors.joining());
        return text.equals(expectedText(request))
                && answers.get(answers.size() - 1)
                        .filter(answer -> hasExpectedTokenCount(request, answer))
                        .isPresent();
    }

    private static String expectedText(ModelRequest request) {
        String hash = request.promptHash();
        return IntStream.range(0, request.tokens())
                .mapToObj(index -> AnswerText.token(hash, index))
                .collect(Collectors.joining());
    }

    private static boolean answersRequest(ModelRequest request, JsonNode answer) {
        return fieldText(answer, "model").equals(request.model())
                && fieldText(answer, "adapter").equals(request.adapter().orElse(""))
                && fieldText(answer, "prompt_sha256").equals(request.promptHash());
    }

    private static boolean hasExpectedTokenCount(ModelRequest request, JsonNode answer) {
        return answer.at("/usage/completion_tokens").asInt() == request.tokens();
    }

    private static String fieldText(JsonNode answer, String field) {
        JsonNode value = answer.get(field);
        return value == null || value.isNull() ? "" : value.asText();
    }

    private static Optional<JsonNode> parseJson(byte[] body) {
        try {
            return Optional.ofNullable(Codecs.json().readTree(body));
        } catch (IOException invalid) {
            return Optional.empty();
        }
    }
}
