package org.tamaracktrack.core.dispatch;

/**
 * What a target said of its load.
 *
 * @param running requests that run
 * @param waiting requests that wait in its queue
 */
public record ReportedLoad(int running, int waiting) {}
