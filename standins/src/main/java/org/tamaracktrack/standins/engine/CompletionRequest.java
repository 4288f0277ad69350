package org.tamaracktrack.standins.engine;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.stream.Collectors;
import org.tamaracktrack.standins.http.HttpErrorException;

/**
 * The fields of the body of a completion request that the stand-in reads.
 *
 * @param prompt the prompt of a text completion, or null
 * @param messages the messages of a chat completion, or null
 * @param stream whether to respond with a stream
 * @param maxTokens the number of tokens to generate, or null for the default
 */
record CompletionRequest(
        String prompt,
        List<ChatMessage> messages,
        boolean stream,
        @JsonProperty("max_tokens") Integer maxTokens) {

    private static final int DEFAULT_TOKENS = 16;
    private static final int MAXIMUM_TOKENS = 100_000;

    /**
     * A message of a chat.
     *
     * @param content the content, of which only text is read
     */
    record ChatMessage(JsonNode content) {

        Optional<String> text() {
            return Optional.ofNullable(content).filter(JsonNode::isTextual).map(JsonNode::asText);
        }
    }

    /**
     * Returns the prompt: its hash determines the text of the answer.
     *
     * @return the prompt
     */
    String promptText() {
        if (prompt != null) {
            return prompt;
        }
        if (messages == null) {
            throw HttpErrorException.of(400, "no_prompt");
        }
        return messages.stream()
                .filter(Objects::nonNull)
                .flatMap(message -> message.text().stream())
                .collect(Collectors.joining("\n"));
    }

    int tokens() {
        int requested = maxTokens == null ? DEFAULT_TOKENS : maxTokens;
        return Math.max(1, Math.min(MAXIMUM_TOKENS, requested));
    }
}
