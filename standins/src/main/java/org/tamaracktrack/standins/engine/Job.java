package org.tamaracktrack.standins.engine;

import java.util.Objects;

/**
 * A request in the engine.
 *
 * @param number its number, which grows
 * @param model the model it uses
 * @param priority a higher one goes first
 * @param promptTokens how many prompt tokens have to be read
 * @param firstToken the first token to generate
 * @param endToken the token after the last
 */
public record Job(
        long number, String model, int priority, int promptTokens, int firstToken, int endToken) {

    /** Checks the arguments. */
    public Job {
        Objects.requireNonNull(model, "model is null");
    }
}
