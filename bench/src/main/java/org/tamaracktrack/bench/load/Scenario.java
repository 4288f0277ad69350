package org.tamaracktrack.bench.load;

import java.util.List;
import org.tamaracktrack.bench.stack.LocalStack;

/** What goes wrong during a load. */
public enum Scenario {
    /** Nothing. */
    PEAK,
    /** A target and its daemon are gone from the peak's start on. */
    TARGET_LOST,
    /** The log is out during the peak. */
    LOG_OUT,
    /** One model's demand grows tenfold in the second half. */
    TENFOLD,
    /** The engines' load figures are ten seconds old, in real time. */
    LAGGING;

    private static final long LAG_MILLIS = 10_000;

    /**
     * Returns what happens during the load.
     *
     * @param stack the system
     * @param durationMillis how long requests are sent
     * @param speed how fast the experiment runs
     * @return the events in order
     */
    public List<OpenLoad.Event> events(LocalStack stack, long durationMillis, Speed speed) {
        double third = durationMillis / 3.0;
        return switch (this) {
            case PEAK, TENFOLD -> List.of();
            case TARGET_LOST -> List.of(new OpenLoad.Event(third, () -> lose(stack)));
            case LOG_OUT ->
                    List.of(
                            new OpenLoad.Event(third, () -> outage(stack, true)),
                            new OpenLoad.Event(2 * third, () -> outage(stack, false)));
            case LAGGING -> List.of(new OpenLoad.Event(0, () -> lag(stack, speed)));
        };
    }

    private static void lose(LocalStack stack) {
        stack.target("engine-0").program().kill();
        stack.standIn("engine-0").putControl("/control/freeze", "{\"on\":true}");
    }

    private static void outage(LocalStack stack, boolean on) {
        stack.log().putControl("/control/outage", "{\"on\":" + on + "}");
    }

    private static void lag(LocalStack stack, Speed speed) {
        String body = "{\"millis\":" + speed.compressed(LAG_MILLIS) + "}";
        stack.engines().values().forEach(engine -> engine.putControl("/control/load-lag", body));
    }
}
