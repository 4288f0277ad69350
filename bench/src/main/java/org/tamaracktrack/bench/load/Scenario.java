package org.tamaracktrack.bench.load;

import java.util.List;
import org.tamaracktrack.bench.stack.LocalStack;

/** A fault or a change of demand during a load. */
public enum Scenario {
    /** No fault. */
    PEAK,
    /** A target stops responding and its daemon is killed at the start of the peak. */
    TARGET_LOST,
    /** The log is unavailable during the peak. */
    LOG_OUT,
    /** The demand for one model grows tenfold in the second half. */
    TENFOLD,
    /** The engines report load that is ten seconds old, in the time of real hardware. */
    LAGGING;

    private static final long LOAD_REPORT_DELAY_MILLIS = 10_000;

    /**
     * Returns the events during the load.
     *
     * @param stack the running system
     * @param durationMillis the duration of the load in milliseconds
     * @param speed the speed of the experiment, by which delays are scaled
     * @return the events in order of time
     */
    public List<OpenLoopLoad.Event> events(LocalStack stack, long durationMillis, Speed speed) {
        double third = durationMillis / 3.0;
        return switch (this) {
            case PEAK, TENFOLD -> List.of();
            case TARGET_LOST -> List.of(new OpenLoopLoad.Event(third, () -> loseTarget(stack)));
            case LOG_OUT ->
                    List.of(
                            new OpenLoopLoad.Event(third, () -> setLogOutage(stack, true)),
                            new OpenLoopLoad.Event(2 * third, () -> setLogOutage(stack, false)));
            case LAGGING ->
                    List.of(new OpenLoopLoad.Event(0, () -> delayLoadReports(stack, speed)));
        };
    }

    private static void loseTarget(LocalStack stack) {
        stack.target("engine-0").program().kill();
        stack.standIn("engine-0").putControl("/control/freeze", "{\"on\":true}");
    }

    private static void setLogOutage(LocalStack stack, boolean on) {
        stack.log().putControl("/control/outage", "{\"on\":" + on + "}");
    }

    private static void delayLoadReports(LocalStack stack, Speed speed) {
        String body = "{\"millis\":" + speed.scaledMillis(LOAD_REPORT_DELAY_MILLIS) + "}";
        stack.engines().values().forEach(engine -> engine.putControl("/control/load-lag", body));
    }
}
