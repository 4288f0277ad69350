package org.tamaracktrack.core.route;

/**
 * Bounds on what a caller may send.
 *
 * @param bodyBytes the largest body
 * @param idleMillis how long a connection may stay idle
 */
public record CallerLimits(int bodyBytes, long idleMillis) {}
