package org.tamaracktrack.standins.engine;

/** Generates the text of answers. It depends only on the prompt, so that callers can verify it. */
public final class AnswerText {
    static final int CHARACTERS_PER_TOKEN = 4;

    private AnswerText() {}

    /**
     * Returns the number of tokens of a text.
     *
     * @param text the text
     * @return the number, at least 1
     */
    public static int tokenCount(String text) {
        return Math.max(1, text.length() / CHARACTERS_PER_TOKEN);
    }

    /**
     * Returns one token of the answer to a prompt.
     *
     * @param promptHash the SHA-256 hash of the prompt in hexadecimal
     * @param index the index of the token in the answer
     * @return the text of the token
     */
    public static String token(String promptHash, int index) {
        int from = index % (promptHash.length() - CHARACTERS_PER_TOKEN);
        String word = promptHash.substring(from, from + CHARACTERS_PER_TOKEN);
        return (index == 0 ? "" : " ") + word + index;
    }
}
