package org.tamaracktrack.bench.report;

import java.util.Objects;
import org.tamaracktrack.bench.caller.ModelRequest;
import org.tamaracktrack.bench.caller.Observation;
import org.tamaracktrack.bench.caller.Outcome;
import org.tamaracktrack.bench.caller.ServiceRequest;

/**
 * One request as its caller knows it.
 *
 * @param row where a report counts it
 * @param outcome what the caller got
 * @param answerTokens tokens of its answer, 0 without a whole one
 */
public record ObservedRequest(Row row, Outcome outcome, int answerTokens) {

    /** Checks the arguments. */
    public ObservedRequest {
        Objects.requireNonNull(row, "row is null");
        Objects.requireNonNull(outcome, "outcome is null");
    }

    /**
     * A row of a report.
     *
     * @param account the client account
     * @param destination the model or service
     * @param requestClass the request class
     */
    public record Row(String account, String destination, String requestClass) {}

    /**
     * Returns a request to a model.
     *
     * @param request the request
     * @param seen what the caller saw
     * @return the request as its caller knows it
     */
    public static ObservedRequest of(ModelRequest request, Observation seen) {
        Row row = new Row(request.caller().account(), request.model(), request.requestClass());
        boolean whole = seen.outcome() == Outcome.WHOLE;
        return new ObservedRequest(row, seen.outcome(), whole ? request.tokens() : 0);
    }

    /**
     * Returns a call of a plain service.
     *
     * @param request the call
     * @param requestClass the account's default class
     * @param seen what the caller saw
     * @return the call as its caller knows it
     */
    public static ObservedRequest of(
            ServiceRequest request, String requestClass, Observation seen) {
        Row row = new Row(request.caller().account(), request.service(), requestClass);
        return new ObservedRequest(row, seen.outcome(), 0);
    }
}
