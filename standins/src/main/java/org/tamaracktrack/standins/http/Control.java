package org.tamaracktrack.standins.http;

/** The bodies of control requests that several stand-ins share. */
public final class Control {
    private Control() {}

    /**
     * Turns a fault on or off.
     *
     * @param on whether the fault is on
     */
    public record Switch(boolean on) {}

    /**
     * Sets a duration.
     *
     * @param millis the duration in milliseconds
     */
    public record Millis(long millis) {}

    /**
     * Sets the number of next requests that a fault applies to.
     *
     * @param count the number of requests
     */
    public record Count(int count) {}

    /**
     * Truncates the next responses.
     *
     * @param afterBytes the number of bytes of the body that are sent
     * @param count the number of responses to truncate
     */
    public record Cut(int afterBytes, int count) {}
}
