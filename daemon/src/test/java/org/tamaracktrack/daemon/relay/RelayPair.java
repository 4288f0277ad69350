package org.tamaracktrack.daemon.relay;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import org.tamaracktrack.daemon.runtime.ControlThread;
import org.tamaracktrack.link.topic.StoreEra;
import org.xnio.XnioWorker;

/** The relays of a holder and of one other daemon, for connections over loopback. */
public final class RelayPair implements AutoCloseable {
    private static final long AWAIT_TIMEOUT_MILLIS = 20_000;
    private static final long POLL_INTERVAL_MILLIS = 10;
    private static final double LINK_MEGABITS = 100;

    private final ControlThread control = ControlThread.of("test");
    private final XnioWorker worker;
    private final RecordRelay holder;
    private final RecordRelay follower;

    private RelayPair(RelayLimits limits) throws IOException {
        worker = TestWorker.start();
        holder =
                RecordRelay.of(
                        worker,
                        control,
                        Optional.of(new InetSocketAddress("127.0.0.1", 0)),
                        StoreEra.unknown(),
                        limits);
        follower = RecordRelay.of(worker, control, Optional.empty(), StoreEra.unknown(), limits);
    }

    public static RelayPair start() throws IOException {
        return start(new RelayLimits(LINK_MEGABITS));
    }

    public static RelayPair start(RelayLimits limits) throws IOException {
        return new RelayPair(limits);
    }

    public ControlThread control() {
        return control;
    }

    public RecordRelay holder() {
        return holder;
    }

    public RecordRelay follower() {
        return follower;
    }

    /** Returns the relay of another daemon, which no daemon can reach. */
    public RecordRelay unconnected() {
        return RecordRelay.of(
                worker,
                control,
                Optional.empty(),
                StoreEra.unknown(),
                new RelayLimits(LINK_MEGABITS));
    }

    /** Gives the lease to the holder and passes its contact to the follower. */
    public void grantLease() {
        onControl(() -> holder.updateHolder(true, Optional.empty()));
        onControl(() -> follower.updateHolder(false, holder.contact()));
    }

    /** Runs a task on the control thread and waits for its end. Rethrows its exception, if any. */
    public void onControl(Runnable task) {
        CompletableFuture.runAsync(task, control::post).join();
    }

    /** Waits until a condition holds, which is evaluated on the control thread. */
    public void await(BooleanSupplier condition) {
        long untilNanos = System.nanoTime() + Duration.ofMillis(AWAIT_TIMEOUT_MILLIS).toNanos();
        boolean[] holds = {false};
        while (!holds[0]) {
            if (System.nanoTime() > untilNanos) {
                throw new AssertionError(
                        "condition not met within " + AWAIT_TIMEOUT_MILLIS + " ms");
            }
            CompletableFuture<Void> evaluated = new CompletableFuture<>();
            control.after(
                    POLL_INTERVAL_MILLIS,
                    () -> {
                        holds[0] = condition.getAsBoolean();
                        evaluated.complete(null);
                    });
            evaluated.join();
        }
    }

    @Override
    public void close() {
        onControl(
                () -> {
                    holder.close();
                    follower.close();
                });
        control.close();
        worker.shutdownNow();
    }
}
