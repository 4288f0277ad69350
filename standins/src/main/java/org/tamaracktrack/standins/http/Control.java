package org.tamaracktrack.standins.http;

/** The bodies of control calls that several stand-ins share. */
public final class Control {
    private Control() {}

    /**
     * Turns something on or off.
     *
     * @param on whether it is on
     */
    public record Switch(boolean on) {}

    /**
     * Sets a time.
     *
     * @param millis the time
     */
    public record Millis(long millis) {}

    /**
     * Sets how many of the next calls something happens to.
     *
     * @param count how many
     */
    public record Count(int count) {}

    /**
     * Cuts the next answers.
     *
     * @param afterBytes how many bytes of the body are sent first
     * @param count how many answers are cut
     */
    public record Cut(int afterBytes, int count) {}
}
