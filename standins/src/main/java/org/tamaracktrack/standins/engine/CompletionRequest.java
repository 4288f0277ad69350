package org.tamaracktrack.standins.engine;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.stream.Collectors;
import org.tamaracktrack.standins.http.BadCallException;

/**
 * The body of a request, as far as the stand-in reads it.
 *
 * @param prompt the prompt, of a text completion
 * @param messages the messages, of a chat completion
 * @param stream whether to answer as a stream
 * @param maxTokens how many tokens to generate
 */
record CompletionRequest(
        String prompt,
        List<ChatMessage> messages,
        boolean stream,
        @JsonProperty("max_tokens") Integer maxTokens) {

    private static final int DEFAULT_TOKENS = 16;
    private static final int MAXIMUM_TOKENS = 100_000;

    /**
     * One message.
     *
     * @param content its text
     */
    record ChatMessage(JsonNode content) {

        Optional<String> text() {
            return Optional.ofNullable(content).filter(JsonNode::isTextual).map(JsonNode::asText);
        }
    }

    /**
     * Returns the text whose hash the answer carries.
     *
     * @return the prompt
     */
    String promptText() {
        if (prompt != null) {
            return prompt;
        }
        if (messages == null) {
            throw BadCallException.of(400, "no_prompt");
        }
        return messages.stream()
                .filter(Objects::nonNull)
                .flatMap(message -> message.text().stream())
                .collect(Collectors.joining("\n"));
    }

    int tokens() {
        int wanted = maxTokens == null ? DEFAULT_TOKENS : maxTokens;
        return Math.max(1, Math.min(MAXIMUM_TOKENS, wanted));
    }
}
