package org.tamaracktrack.standins.engine;

import java.util.LinkedHashMap;
import java.util.Map;

/** The prompt prefixes used of late. Not safe for use by several threads. */
public final class PrefixCache {
    private static final int PREFIX_TOKENS = 64;
    private static final int CACHED_COST_DIVISOR = 4;

    private final Map<String, Boolean> recent;

    private PrefixCache(int capacity) {
        this.recent =
                new LinkedHashMap<>(capacity, 0.75f, true) {
                    private static final long serialVersionUID = 1L;

                    @Override
                    protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
                        return size() > capacity;
                    }
                };
    }

    /**
     * Returns an empty cache.
     *
     * @param capacity how many prefixes it remembers
     * @return the cache
     */
    public static PrefixCache of(int capacity) {
        return new PrefixCache(capacity);
    }

    /**
     * Reads a prompt. One that begins with the same 64 tokens as a recent one for the same model
     * costs a quarter.
     *
     * @param model the model
     * @param prompt the prompt
     * @return how many prompt tokens it costs
     */
    public int read(String model, String prompt) {
        int tokens = AnswerText.tokens(prompt);
        if (tokens < PREFIX_TOKENS) {
            return tokens;
        }
        String prefix = prompt.substring(0, PREFIX_TOKENS * AnswerText.CHARACTERS_PER_TOKEN);
        boolean known = recent.put(model + '\n' + prefix, true) != null;
        return known ? Math.max(1, tokens / CACHED_COST_DIVISOR) : tokens;
    }
}
