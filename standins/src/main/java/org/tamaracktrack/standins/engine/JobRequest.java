package org.tamaracktrack.standins.engine;

/**
 * A request that has not been assigned a number.
 *
 * @param model the model it uses
 * @param priority the priority; higher ones are scheduled first
 * @param promptTokens the number of prompt tokens to process
 * @param firstToken the index of the first token to generate
 * @param endToken the index after that of the last token
 */
record JobRequest(String model, int priority, int promptTokens, int firstToken, int endToken) {

    Job withNumber(long number) {
        return new Job(number, model, priority, promptTokens, firstToken, endToken);
    }
}
