package org.tamaracktrack.standins.engine;

import java.util.Objects;

/**
 * A request in the queue or the batch of the engine.
 *
 * @param number the number of the request; later requests have higher numbers
 * @param model the model it uses
 * @param priority the priority; higher ones are scheduled first
 * @param promptTokens the number of prompt tokens to process
 * @param firstToken the index of the first token to generate
 * @param endToken the index after that of the last token
 */
public record Job(
        long number, String model, int priority, int promptTokens, int firstToken, int endToken) {

    /** Checks that the model is not null. */
    public Job {
        Objects.requireNonNull(model, "model is null");
    }
}
