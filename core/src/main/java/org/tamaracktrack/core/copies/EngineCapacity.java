package org.tamaracktrack.core.copies;

/**
 * How many requests a second an engine can answer in time, learned from how long requests stay at
 * engines: by Little's law, requests that run divided by requests a second. An engine can't begin
 * more than its slots are freed for. Owned by the control thread.
 */
public final class EngineCapacity {
    /** Requests a second at which prompts stall the streams of an engine, whatever its slots. */
    private static final double MOST_RATE = 12;

    /** The part of an engine's slots that can be in use before requests often wait for one. */
    private static final double USABLE_SLOTS = 0.75;

    /** How long a request is taken to stay before any was seen. */
    private static final double FIRST_STAY_SECONDS = 2;

    private static final double LEAST_STAY_SECONDS = 1;
    private static final double MOST_STAY_SECONDS = 4;

    /** With less than this over all engines a stay can't be told. */
    private static final double LEAST_RATE = 5;

    /** What was learned changes to a part of 1 / e in this time. */
    private static final double MEMORY_MILLIS = 5_000;

    private double staySeconds = FIRST_STAY_SECONDS;
    private long atMillis = Long.MIN_VALUE;

    private EngineCapacity() {}

    /**
     * Returns a capacity of which nothing was learned.
     *
     * @return the capacity
     */
    public static EngineCapacity unknown() {
        return new EngineCapacity();
    }

    /**
     * Takes in how engines are used.
     *
     * @param running requests that run at all engines
     * @param perSecond requests a second that they get
     * @param nowMillis the monotonic time
     */
    public void note(int running, double perSecond, long nowMillis) {
        double passed = atMillis == Long.MIN_VALUE ? 0 : Math.max(0, nowMillis - atMillis);
        atMillis = nowMillis;
        if (perSecond < LEAST_RATE) {
            return;
        }
        double seen =
                Math.max(LEAST_STAY_SECONDS, Math.min(MOST_STAY_SECONDS, running / perSecond));
        staySeconds += (1 - Math.exp(-passed / MEMORY_MILLIS)) * (seen - staySeconds);
    }

    /**
     * Returns the requests a second at which an engine answers seven of ten in time.
     *
     * @param slots requests that it runs at once
     * @return the rate
     */
    public double busyRate(int slots) {
        return Math.min(MOST_RATE, USABLE_SLOTS * Math.max(1, slots) / staySeconds);
    }
}
