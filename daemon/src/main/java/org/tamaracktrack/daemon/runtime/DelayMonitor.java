package org.tamaracktrack.daemon.runtime;

import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;
import java.util.Objects;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import org.jboss.logging.Logger;
import org.tamaracktrack.core.delay.SchedulingDelay;
import org.xnio.XnioIoThread;

/**
 * Measures how late the threads of a daemon run what is due. A daemon that is short of processor
 * time reads late what others sent in time; without this measure that looks like their delay.
 */
public final class DelayMonitor {
    private static final Logger LOG = Logger.getLogger("tamaracktrack.delay");
    private static final long INTERVAL_MILLIS = 100;

    /** What a read of the store can be late by in all before its time is over for that alone. */
    private static final long LATE_MILLIS = 250;

    private final SchedulingDelay control = delay();
    private final SchedulingDelay traffic = delay();

    private DelayMonitor() {}

    private static SchedulingDelay delay() {
        return SchedulingDelay.of(INTERVAL_MILLIS, LATE_MILLIS, ControlThread.nowMillis());
    }

    /**
     * Starts to measure.
     *
     * @param controlThread the thread of control state
     * @param trafficThread the thread of traffic
     * @param metrics shows the longest delays
     * @return the monitor
     */
    public static DelayMonitor start(
            ControlThread controlThread, XnioIoThread trafficThread, MeterRegistry metrics) {
        Objects.requireNonNull(controlThread, "controlThread is null");
        Objects.requireNonNull(trafficThread, "trafficThread is null");
        DelayMonitor monitor = new DelayMonitor();
        controlThread.every(INTERVAL_MILLIS, () -> beat("control", monitor.control));
        monitor.beatLater(trafficThread);
        gauge("control", monitor.control, metrics);
        gauge("traffic", monitor.traffic, metrics);
        return monitor;
    }

    private void beatLater(XnioIoThread trafficThread) {
        try {
            trafficThread.executeAfter(
                    () -> {
                        beat("traffic", traffic);
                        beatLater(trafficThread);
                    },
                    INTERVAL_MILLIS,
                    TimeUnit.MILLISECONDS);
        } catch (RejectedExecutionException closed) {
            LOG.debugf("event=traffic-task-dropped reason=closed");
        }
    }

    private static void gauge(String thread, SchedulingDelay delay, MeterRegistry metrics) {
        Gauge.builder("tamaracktrack.thread.delay", delay, SchedulingDelay::takeLongestMillis)
                .tag("thread", thread)
                .description("the longest delay in milliseconds of a thread since the last scrape")
                .register(metrics);
    }

    private static void beat(String thread, SchedulingDelay delay) {
        long delayMillis = delay.recordTick(ControlThread.nowMillis());
        if (delayMillis > LATE_MILLIS) {
            LOG.info("event=thread-late thread=" + thread + " delay_ms=" + delayMillis);
        }
    }

    /**
     * Returns whether both threads have run in time since a moment. May be asked by any thread.
     *
     * @param sinceMillis the moment, by the monotonic clock
     * @return false when one of them was late, or is late now
     */
    public boolean punctualSince(long sinceMillis) {
        long nowMillis = ControlThread.nowMillis();
        return control.onTimeSince(sinceMillis, nowMillis)
                && traffic.onTimeSince(sinceMillis, nowMillis);
    }
}
