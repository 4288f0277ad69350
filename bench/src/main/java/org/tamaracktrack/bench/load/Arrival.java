package org.tamaracktrack.bench.load;

import java.util.Objects;
import org.tamaracktrack.bench.caller.ModelRequest;

/**
 * A request and the time at which it is due.
 *
 * @param atMillis the time at which the request is due, in milliseconds after the start of the load
 * @param request the request
 */
public record Arrival(double atMillis, ModelRequest request) {

    /** Checks the arguments. */
    public Arrival {
        Objects.requireNonNull(request, "request is null");
    }
}
