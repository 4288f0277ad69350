package org.tamaracktrack.bench.report;

import java.util.Objects;
import org.tamaracktrack.bench.caller.ModelRequest;
import org.tamaracktrack.bench.caller.Observation;
import org.tamaracktrack.bench.caller.Outcome;
import org.tamaracktrack.bench.caller.ServiceRequest;

/**
 * Result of one request as observed by its caller, for comparison with a report.
 *
 * @param row the row of the report that counts the request
 * @param outcome the outcome for the caller
 * @param answerTokens the number of answer tokens, 0 unless the answer is complete
 */
public record ObservedRequest(Row row, Outcome outcome, int answerTokens) {

    /** Checks the arguments. */
    public ObservedRequest {
        Objects.requireNonNull(row, "row is null");
        Objects.requireNonNull(outcome, "outcome is null");
    }

    /**
     * Key of a row of a report.
     *
     * @param account the client account
     * @param destination the name of the model or plain service
     * @param requestClass the request class
     */
    public record Row(String account, String destination, String requestClass) {}

    /**
     * Returns the result of a request to a model.
     *
     * @param request the request
     * @param observation what the caller observed
     * @return the result
     */
    public static ObservedRequest of(ModelRequest request, Observation observation) {
        Row row = new Row(request.caller().account(), request.model(), request.requestClass());
        boolean whole = observation.outcome() == Outcome.WHOLE;
        return new ObservedRequest(row, observation.outcome(), whole ? request.tokens() : 0);
    }

    /**
     * Returns the result of a request to a plain service.
     *
     * @param request the request
     * @param requestClass the account's default request class
     * @param observation what the caller observed
     * @return the result
     */
    public static ObservedRequest of(
            ServiceRequest request, String requestClass, Observation observation) {
        Row row = new Row(request.caller().account(), request.service(), requestClass);
        return new ObservedRequest(row, observation.outcome(), 0);
    }
}
