package org.tamaracktrack.daemon.gateway;

/**
 * Bounds that operators set for all gateways together.
 *
 * @param retryRatio repeats that a service may get for each request of callers
 * @param retryWindowMillis the window over which both are counted
 * @param retriesBesides this daemon's repeats in a window without any request
 */
public record GatewayLimits(double retryRatio, long retryWindowMillis, double retriesBesides) {}
