package org.tamaracktrack.core.route;

/**
 * Bounds on what a caller may send.
 *
 * @param bodyBytes the largest body
 */
public record CallerLimits(int bodyBytes) {}
