package org.tamaracktrack.daemon.duty;

import java.util.Optional;
import java.util.function.Supplier;
import org.tamaracktrack.core.log.LogRecord;
import org.tamaracktrack.core.log.LogStream;
import org.tamaracktrack.daemon.runtime.DaemonRuntime;
import org.tamaracktrack.daemon.runtime.LogFollower;

/**
 * Follows the reports stream only while a duty needs it. If all entry daemons always read the
 * stream, its cost would exceed the processor budget of each for control tasks. Used on the control
 * thread only.
 */
final class ReportsFollower {
    private final DaemonRuntime runtime;
    private Optional<LogFollower> follower = Optional.empty();
    private long generation;
    private boolean caughtUp;

    /** Receives the records of the stream, on the control thread. */
    interface Sink {

        /** Called for each record, in the order of offsets. */
        void onRecord(LogRecord record);

        /** Called when the records before the given offset expired unread. */
        void onGap(long firstOffset);
    }

    private ReportsFollower(DaemonRuntime runtime) {
        this.runtime = runtime;
    }

    static ReportsFollower of(DaemonRuntime runtime) {
        return new ReportsFollower(runtime);
    }

    /**
     * Starts to follow from the oldest record, unless already started.
     *
     * @param sinkFactory creates the receiver of the records; called only when following starts
     */
    void start(Supplier<Sink> sinkFactory) {
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
                                new Listener(generation, sinkFactory.get())));
    }

    void stop() {
        follower.ifPresent(LogFollower::close);
        follower = Optional.empty();
        caughtUp = false;
    }

    /** Returns whether the end of the stream has been reached since the start. */
    boolean caughtUp() {
        return caughtUp;
    }

    private final class Listener implements LogFollower.Listener {
        private final long ownGeneration;
        private final Sink sink;

        private Listener(long ownGeneration, Sink sink) {
            this.ownGeneration = ownGeneration;
            this.sink = sink;
        }

        // A closed follower may still deliver a pending batch, whose records must not reach the
        // receiver of the next one.
        private boolean isCurrent() {
            return ownGeneration == generation && follower.isPresent();
        }

        @Override
        public void onRecord(LogRecord record) {
            if (isCurrent()) {
                sink.onRecord(record);
            }
        }

        @Override
        public void onGap(long firstOffset) {
            if (isCurrent()) {
                sink.onGap(firstOffset);
            }
        }

        @Override
        public void onCaughtUp(long nextOffset) {
            caughtUp = caughtUp || isCurrent();
        }

        @Override
        public void onReachable(boolean reachable) {}
    }
}
