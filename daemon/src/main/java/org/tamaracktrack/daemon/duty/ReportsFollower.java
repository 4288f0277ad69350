package org.tamaracktrack.daemon.duty;

import java.util.Optional;
import java.util.function.Supplier;
import org.tamaracktrack.core.log.LogRecord;
import org.tamaracktrack.core.log.LogStream;
import org.tamaracktrack.daemon.runtime.DaemonRuntime;
import org.tamaracktrack.daemon.runtime.LogFollower;

/**
 * Follows the reports stream while a duty needs it. Read by every entry daemon all the time, the
 * stream would cost each of them more than its whole budget for control.
 */
final class ReportsFollower {
    private final DaemonRuntime runtime;
    private Optional<LogFollower> follower = Optional.empty();
    private long generation;
    private boolean caughtUp;

    /** Takes the stream in. On the control thread. */
    interface Sink {

        /** A record, in offset order. */
        void onRecord(LogRecord record);

        /** Records before this offset expired unread. */
        void onGap(long firstOffset);
    }

    private ReportsFollower(DaemonRuntime runtime) {
        this.runtime = runtime;
    }

    static ReportsFollower of(DaemonRuntime runtime) {
        return new ReportsFollower(runtime);
    }

    /**
     * Starts to follow from the oldest record, if it does not yet.
     *
     * @param sink makes what takes the records in
     */
    void start(Supplier<Sink> sink) {
        if (follower.isPresent()) {
            return;
        }
        generation++;
        follower =
                Optional.of(
                        LogFollower.start(
                                runtime.log(),
                                LogStream.REPORTS,
                                runtime.control(),
                                new Listener(generation, sink.get())));
    }

    void stop() {
        follower.ifPresent(LogFollower::close);
        follower = Optional.empty();
        caughtUp = false;
    }

    /** Returns whether every record there was has been taken in. */
    boolean caughtUp() {
        return caughtUp;
    }

    private final class Listener implements LogFollower.Listener {
        private final long own;
        private final Sink sink;

        private Listener(long own, Sink sink) {
            this.own = own;
            this.sink = sink;
        }

        // A follower that was closed may still have a batch under way; its records must not reach
        // the next one's state.
        private boolean current() {
            return own == generation && follower.isPresent();
        }

        @Override
        public void onRecord(LogRecord record) {
            if (current()) {
                sink.onRecord(record);
            }
        }

        @Override
        public void onGap(long firstOffset) {
            if (current()) {
                sink.onGap(firstOffset);
            }
        }

        @Override
        public void onCaughtUp(long nextOffset) {
            caughtUp = caughtUp || current();
        }

        @Override
        public void onReachable(boolean reachable) {}
    }
}
