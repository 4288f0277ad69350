package org.tamaracktrack.core.shedding;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/** Plays daemons with one thread each behind a load balancer that prefers one of them. */
final class CrowdedDaemonSimulation {
    private static final double DURATION_MILLIS = 12_000;
    private static final double CROWDED_FROM_MILLIS = 2_000;
    private static final double MEASURED_FROM_MILLIS = 5_000;
    private static final double PREFERRED_SHARE = 0.9;
    private static final double REQUEST_MILLIS = 4;
    private static final double CLOSE_MILLIS = 0.1;
    private static final double ANSWER_MILLIS = 1_500;

    /** A caller leaves when nothing has been read for this long. */
    private static final double PATIENCE_MILLIS = 1_000;

    private final SplittableRandom random;
    private final List<Daemon> daemons;
    private final double meanIntervalMillis;
    private double nowMillis;
    private int requests;
    private int served;
    private boolean lastReadInTime;

    private static final class Daemon {
        private final ConnectionShedder shedder = ConnectionShedder.idle();
        private final Deque<Double> requestEnds = new ArrayDeque<>();
        private double busyUntilMillis;

        private double waitMillis(double nowMillis) {
            return Math.max(0, busyUntilMillis - nowMillis);
        }

        private int requests(double nowMillis) {
            while (!requestEnds.isEmpty() && requestEnds.getFirst() < nowMillis) {
                requestEnds.removeFirst();
            }
            return requestEnds.size();
        }
    }

    private CrowdedDaemonSimulation(int daemons, double load, long seed) {
        this.random = new SplittableRandom(seed);
        this.daemons =
                IntStream.range(0, daemons)
                        .mapToObj(number -> new Daemon())
                        .collect(Collectors.toList());
        this.meanIntervalMillis = REQUEST_MILLIS / (load * daemons);
    }

    /**
     * Returns the share of requests that are served in time by the first daemon that reads them.
     *
     * @param daemons the number of daemons
     * @param load the requests of all daemons, relative to what all of them together can read
     * @param seed the seed
     */
    static double servedShare(int daemons, double load, long seed) {
        return new CrowdedDaemonSimulation(daemons, load, seed).play();
    }

    private double play() {
        double nextTickMillis = 0;
        while (nowMillis < DURATION_MILLIS) {
            nowMillis += -meanIntervalMillis * Math.log(1 - random.nextDouble());
            while (nextTickMillis < nowMillis) {
                tick(nextTickMillis);
                nextTickMillis += ConnectionShedder.TICK_MILLIS;
            }
            arrive();
        }
        return (double) served / requests;
    }

    private void tick(double atMillis) {
        int total = daemons.stream().mapToInt(daemon -> daemon.requests(atMillis)).sum();
        daemons.forEach(
                daemon -> {
                    int own = daemon.requests(atMillis);
                    daemon.shedder.recordTick(
                            Math.round(daemon.waitMillis(atMillis)),
                            own,
                            total - own,
                            daemons.size() - 1);
                });
    }

    private void arrive() {
        boolean crowded = nowMillis >= CROWDED_FROM_MILLIS;
        boolean preferred = crowded && random.nextDouble() < PREFERRED_SHARE;
        Daemon first = preferred ? daemons.get(0) : anyDaemon();
        boolean inTime = isShed(first) ? !isShed(anyDaemon()) && lastReadInTime : lastReadInTime;
        if (nowMillis >= MEASURED_FROM_MILLIS) {
            requests++;
            served += inTime ? 1 : 0;
        }
    }

    private Daemon anyDaemon() {
        return daemons.get(random.nextInt(daemons.size()));
    }

    /** Sends a request; returns whether the daemon closes the connection unread. */
    private boolean isShed(Daemon daemon) {
        boolean sheds = daemon.shedder.sheds(random.nextDouble());
        double waitMillis = daemon.waitMillis(nowMillis);
        daemon.busyUntilMillis =
                Math.max(nowMillis, daemon.busyUntilMillis)
                        + (sheds ? CLOSE_MILLIS : REQUEST_MILLIS);
        if (!sheds) {
            daemon.requestEnds.addLast(nowMillis + waitMillis + ANSWER_MILLIS);
        }
        lastReadInTime = !sheds && waitMillis < PATIENCE_MILLIS;
        return sheds;
    }
}
