package org.tamaracktrack.standins.engine;

/** The text of answers, which follows from the prompt alone. */
public final class AnswerText {
    static final int CHARACTERS_PER_TOKEN = 4;

    private AnswerText() {}

    /**
     * Returns how many tokens a text has.
     *
     * @param text the text
     * @return how many, at least 1
     */
    public static int tokens(String text) {
        return Math.max(1, text.length() / CHARACTERS_PER_TOKEN);
    }

    /**
     * Returns one token of the answer to a prompt.
     *
     * @param promptHash the SHA-256 of the prompt in hex
     * @param index the token's index
     * @return the token's text
     */
    public static String token(String promptHash, int index) {
        int from = index % (promptHash.length() - CHARACTERS_PER_TOKEN);
        String word = promptHash.substring(from, from + CHARACTERS_PER_TOKEN);
        return (index == 0 ? "" : " ") + word + index;
    }
}
