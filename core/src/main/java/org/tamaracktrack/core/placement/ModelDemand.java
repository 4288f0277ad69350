package org.tamaracktrack.core.placement;

/**
 * The estimated demand for a model.
 *
 * @param requestsPerSecond the rate of offered requests
 * @param slots the mean number of requests that would run concurrently if all were served (Little's
 *     law), from the fast average
 * @param longTermSlots the same from the slow average; the value of a copy while its model has few
 *     requests
 */
public record ModelDemand(double requestsPerSecond, double slots, double longTermSlots) {
    /** No demand. */
    public static final ModelDemand NONE = new ModelDemand(0, 0, 0);
}
