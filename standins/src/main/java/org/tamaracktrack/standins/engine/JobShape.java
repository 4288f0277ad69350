package org.tamaracktrack.standins.engine;

/**
 * A request before it has a number.
 *
 * @param model the model it uses
 * @param priority a higher one goes first
 * @param promptTokens how many prompt tokens have to be read
 * @param firstToken the first token to generate
 * @param endToken the token after the last
 */
record JobShape(String model, int priority, int promptTokens, int firstToken, int endToken) {

    Job numbered(long number) {
        return new Job(number, model, priority, promptTokens, firstToken, endToken);
    }
}
