package org.tamaracktrack.core.dispatch;

/**
 * The load that a target last reported.
 *
 * @param running requests that it executes
 * @param waiting requests that wait in its queue
 */
public record ReportedLoad(int running, int waiting) {}
