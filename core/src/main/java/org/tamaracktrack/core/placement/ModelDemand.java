package org.tamaracktrack.core.placement;

/**
 * The estimated demand for a model.
 *
 * @param requestsPerSecond requests offered in a second
 * @param slots how many requests would run at once if all were served (Little's law)
 * @param lastingSlots the same over a longer time; what a copy is worth when its model is quiet
 */
public record ModelDemand(double requestsPerSecond, double slots, double lastingSlots) {
    /** No demand. */
    public static final ModelDemand NONE = new ModelDemand(0, 0, 0);
}
