package org.tamaracktrack.core.route;

/**
 * Holds the limits on requests of callers.
 *
 * @param maximumBodyBytes the maximum size of a request body in bytes
 */
public record RequestLimits(int maximumBodyBytes) {}
