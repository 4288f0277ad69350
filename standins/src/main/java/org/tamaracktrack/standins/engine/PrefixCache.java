package org.tamaracktrack.standins.engine;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Emulates a prefix cache: keeps the most recently used prompt prefixes. Not safe for use by
 * several threads.
 */
public final class PrefixCache {
    private static final int PREFIX_TOKENS = 64;
    private static final int CACHED_COST_DIVISOR = 4;

    private final Map<String, Boolean> recentPrefixes;

    private PrefixCache(int capacity) {
        this.recentPrefixes =
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
     * @param capacity the maximum number of prefixes
     * @return the cache
     */
    public static PrefixCache of(int capacity) {
        return new PrefixCache(capacity);
    }

    /**
     * Adds the prefix of a prompt to the cache, and returns the cost of processing the prompt. A
     * prompt whose first 64 tokens are cached for the model costs a quarter.
     *
     * @param model the model
     * @param prompt the prompt
     * @return the cost in prompt tokens
     */
    public int promptCostTokens(String model, String prompt) {
        int tokens = AnswerText.tokenCount(prompt);
        if (tokens < PREFIX_TOKENS) {
            return tokens;
        }
        String prefix = prompt.substring(0, PREFIX_TOKENS * AnswerText.CHARACTERS_PER_TOKEN);
        boolean cached = recentPrefixes.put(model + '\n' + prefix, true) != null;
        return cached ? Math.max(1, tokens / CACHED_COST_DIVISOR) : tokens;
    }
}
