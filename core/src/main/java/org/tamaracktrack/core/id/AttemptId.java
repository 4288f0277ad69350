package org.tamaracktrack.core.id;

import java.util.Objects;

/**
 * Identifies one attempt of one request by one entry daemon. An incarnation never reuses numbers,
 * so a late answer can be distinguished from the answer to a later attempt.
 *
 * @param entry the incarnation of the entry daemon
 * @param request the request's number within that incarnation
 * @param attempt the attempt's number within the request, from 0
 */
public record AttemptId(IncarnationId entry, long request, int attempt) {

    /** Checks the arguments. */
    public AttemptId {
        Objects.requireNonNull(entry, "entry is null");
    }

    /**
     * Returns the identifier of an attempt.
     *
     * @param entry the incarnation of the entry daemon
     * @param request the request's number
     * @param attempt the attempt's number
     * @return the identifier
     */
    public static AttemptId of(IncarnationId entry, long request, int attempt) {
        return new AttemptId(entry, request, attempt);
    }

    /**
     * Returns the identifier of the next attempt of the same request.
     *
     * @return the identifier
     */
    public AttemptId next() {
        return new AttemptId(entry, request, attempt + 1);
    }

    @Override
    public String toString() {
        return entry + "/" + request + "/" + attempt;
    }
}
