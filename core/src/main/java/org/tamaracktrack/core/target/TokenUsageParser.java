package org.tamaracktrack.core.target;

import java.nio.charset.StandardCharsets;
import java.util.Objects;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Extracts the token counts that an engine reports in the last bytes of an answer. */
public final class TokenUsageParser {
    private static final int MAX_TAIL_BYTES = 2_048;
    private static final Pattern PROMPT = Pattern.compile("\"prompt_tokens\"\\s*:\\s*(\\d{1,9})");
    private static final Pattern ANSWER =
            Pattern.compile("\"completion_tokens\"\\s*:\\s*(\\d{1,9})");
    private static final String END_OF_STREAM = "data: [DONE]";

    private byte[] tail = {};

    private TokenUsageParser() {}

    /**
     * Returns a parser without input.
     *
     * @return the parser
     */
    public static TokenUsageParser empty() {
        return new TokenUsageParser();
    }

    /**
     * Adds the next part of the answer.
     *
     * @param bytes the part
     */
    public void add(byte[] bytes) {
        Objects.requireNonNull(bytes, "bytes is null");
        int retained = Math.max(0, Math.min(tail.length, MAX_TAIL_BYTES - bytes.length));
        int added = Math.min(bytes.length, MAX_TAIL_BYTES);
        byte[] joined = new byte[retained + added];
        System.arraycopy(tail, tail.length - retained, joined, 0, retained);
        System.arraycopy(bytes, bytes.length - added, joined, retained, added);
        tail = joined;
    }

    /**
     * Returns the number of prompt tokens.
     *
     * @return the number; 0 if the answer does not contain it
     */
    public int promptTokens() {
        return lastMatch(PROMPT);
    }

    /**
     * Returns the number of answer tokens.
     *
     * @return the number; 0 if the answer does not contain it
     */
    public int answerTokens() {
        return lastMatch(ANSWER);
    }

    /**
     * Returns whether an event stream is complete.
     *
     * @return true if the last event is the end marker {@code [DONE]}
     */
    public boolean isStreamComplete() {
        return text().stripTrailing().endsWith(END_OF_STREAM);
    }

    private int lastMatch(Pattern pattern) {
        Matcher matcher = pattern.matcher(text());
        int value = 0;
        while (matcher.find()) {
            value = Integer.parseInt(matcher.group(1));
        }
        return value;
    }

    private String text() {
        return new String(tail, StandardCharsets.UTF_8);
    }
}
