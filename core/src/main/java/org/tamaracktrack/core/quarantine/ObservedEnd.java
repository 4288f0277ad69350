package org.tamaracktrack.core.quarantine;

/**
 * The end of one target while a suspect was there.
 *
 * @param ran whether the target was running the suspect; otherwise it may only have waited there
 * @param atMillis when the target ended, in milliseconds of the time of day
 */
public record ObservedEnd(boolean ran, long atMillis) {}
