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
 * Measures the scheduling delay of the control and traffic threads. A daemon that is short of
 * processor time reads messages late even if they were sent in time; this measurement distinguishes
 * its own delay from that of the sender.
 */
public final class DelayMonitor {
    private static final Logger LOG = Logger.getLogger("tamaracktrack.delay");
    private static final long INTERVAL_MILLIS = 100;

    /**
     * The total scheduling delay that by itself makes a read of the store exceed its time limit.
     */
    private static final long LATE_THRESHOLD_MILLIS = 250;

    private final MeasuredThread control = new MeasuredThread("control");
    private final MeasuredThread traffic = new MeasuredThread("traffic");

    private DelayMonitor() {}

    /** Measures one thread, by ticks that run on it. */
    private static final class MeasuredThread {
        private final String name;
        private final SchedulingDelay delay =
                SchedulingDelay.of(
                        INTERVAL_MILLIS, LATE_THRESHOLD_MILLIS, ControlThread.nowMillis());
        private long lastTickWallMillis = System.currentTimeMillis();

        private MeasuredThread(String name) {
            this.name = name;
        }

        // A stopped process or a busy thread is late by both clocks, a suspended machine only by
        // the wall clock.
        private void recordTick() {
            long wallMillis = System.currentTimeMillis();
            long wallDelayMillis = wallMillis - lastTickWallMillis - INTERVAL_MILLIS;
            lastTickWallMillis = wallMillis;
            long delayMillis = delay.recordTick(ControlThread.nowMillis());
            if (Math.max(delayMillis, wallDelayMillis) > LATE_THRESHOLD_MILLIS) {
                LOG.info(
                        "event=thread-late thread="
                                + name
                                + " delay_ms="
                                + delayMillis
                                + " wall_delay_ms="
                                + wallDelayMillis);
            }
        }

        private void registerGauge(MeterRegistry metrics) {
            Gauge.builder("tamaracktrack.thread.delay", delay, SchedulingDelay::takeLongestMillis)
                    .tag("thread", name)
                    .description(
                            "the longest delay in milliseconds of a thread since the last scrape")
                    .register(metrics);
        }
    }

    /**
     * Starts a monitor and registers its gauges.
     *
     * @param controlThread the thread that owns the control state
     * @param trafficThread the input/output thread that handles requests
     * @param metrics the registry for the gauges of the longest delays
     * @return the monitor
     */
    public static DelayMonitor start(
            ControlThread controlThread, XnioIoThread trafficThread, MeterRegistry metrics) {
        Objects.requireNonNull(controlThread, "controlThread is null");
        Objects.requireNonNull(trafficThread, "trafficThread is null");
        DelayMonitor monitor = new DelayMonitor();
        controlThread.every(INTERVAL_MILLIS, monitor.control::recordTick);
        monitor.measureRepeatedly(trafficThread);
        monitor.control.registerGauge(metrics);
        monitor.traffic.registerGauge(metrics);
        return monitor;
    }

    private void measureRepeatedly(XnioIoThread trafficThread) {
        try {
            trafficThread.executeAfter(
                    () -> {
                        traffic.recordTick();
                        measureRepeatedly(trafficThread);
                    },
                    INTERVAL_MILLIS,
                    TimeUnit.MILLISECONDS);
        } catch (RejectedExecutionException closed) {
            LOG.debugf("event=traffic-task-dropped reason=closed");
        }
    }

    /**
     * Returns whether the total scheduling delay of each thread since a given time is within the
     * threshold. May be called on any thread.
     *
     * @param sinceMillis the start of the period, by the clock of {@link ControlThread#nowMillis()}
     * @return false if a thread was late beyond the threshold in that period, or is now
     */
    public boolean punctualSince(long sinceMillis) {
        long nowMillis = ControlThread.nowMillis();
        return control.delay.onTimeSince(sinceMillis, nowMillis)
                && traffic.delay.onTimeSince(sinceMillis, nowMillis);
    }
}
