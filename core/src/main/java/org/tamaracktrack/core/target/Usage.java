package org.tamaracktrack.core.target;

import java.nio.charset.StandardCharsets;
import java.util.Objects;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Keeps the last bytes of an answer, where an engine states what the answer cost. */
public final class Usage {
    private static final int KEPT_BYTES = 2_048;
    private static final Pattern PROMPT = Pattern.compile("\"prompt_tokens\"\\s*:\\s*(\\d{1,9})");
    private static final Pattern ANSWER =
            Pattern.compile("\"completion_tokens\"\\s*:\\s*(\\d{1,9})");
    private static final String END_OF_STREAM = "data: [DONE]";

    private byte[] tail = {};

    private Usage() {}

    /**
     * Returns a keeper that has seen nothing.
     *
     * @return the keeper
     */
    public static Usage empty() {
        return new Usage();
    }

    /**
     * Takes a part of the answer in.
     *
     * @param bytes the part
     */
    public void add(byte[] bytes) {
        Objects.requireNonNull(bytes, "bytes is null");
        int kept = Math.max(0, Math.min(tail.length, KEPT_BYTES - bytes.length));
        int taken = Math.min(bytes.length, KEPT_BYTES);
        byte[] joined = new byte[kept + taken];
        System.arraycopy(tail, tail.length - kept, joined, 0, kept);
        System.arraycopy(bytes, bytes.length - taken, joined, kept, taken);
        tail = joined;
    }

    /**
     * Returns the tokens of the prompt.
     *
     * @return the number, 0 when the answer does not say
     */
    public int promptTokens() {
        return last(PROMPT);
    }

    /**
     * Returns the tokens of the answer.
     *
     * @return the number, 0 when the answer does not say
     */
    public int answerTokens() {
        return last(ANSWER);
    }

    /**
     * Returns whether a stream of events ended as it should.
     *
     * @return true when the last event is the end mark
     */
    public boolean isStreamComplete() {
        return text().stripTrailing().endsWith(END_OF_STREAM);
    }

    private int last(Pattern pattern) {
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
