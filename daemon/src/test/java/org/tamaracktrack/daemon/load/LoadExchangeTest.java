package org.tamaracktrack.daemon.load;

import static com.google.common.truth.Truth.assertThat;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.function.BiConsumer;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.tamaracktrack.core.dispatch.LoadShare;
import org.tamaracktrack.core.fleet.TargetIncarnation;
import org.tamaracktrack.core.id.TargetId;

class LoadExchangeTest {
    private static final InetSocketAddress PEER = new InetSocketAddress("127.0.0.1", 2);
    private static final InetSocketAddress STRANGER = new InetSocketAddress("127.0.0.1", 3);
    private static final TargetIncarnation ENGINE = new TargetIncarnation(TargetId.of("engine"), 7);
    private static final TargetIncarnation OTHER = new TargetIncarnation(TargetId.of("other"), 7);
    private static final LoadShare SOME = new LoadShare(2, 900);
    private static final LoadShare MORE = new LoadShare(3, 1_800);

    private final Wire wire = new Wire();
    private final VirtualTime time = new VirtualTime();
    private final Map<TargetIncarnation, LoadShare> own = new HashMap<>();
    private final Map<TargetIncarnation, LoadShare> others = new HashMap<>();
    private final LoadExchange exchange =
            LoadExchange.of("self", wire, time, () -> Map.copyOf(own), others::put);

    /** Keeps what is sent. */
    private static final class Wire implements Datagrams {
        private final List<byte[]> sent = new ArrayList<>();
        private BiConsumer<InetSocketAddress, byte[]> receiver = (from, message) -> {};

        @Override
        public void send(InetSocketAddress target, byte[] message) {
            sent.add(message);
        }

        @Override
        public void onReceived(BiConsumer<InetSocketAddress, byte[]> taker) {
            receiver = taker;
        }

        LoadRecord last() {
            return LoadRecord.decode(sent.get(sent.size() - 1));
        }
    }

    /** Runs tasks as time is moved on. */
    private static final class VirtualTime implements LoadExchange.Timer {
        private final PriorityQueue<Task> tasks = new PriorityQueue<>();
        private long nowMillis;

        private record Task(long atMillis, Runnable run) implements Comparable<Task> {
            @Override
            public int compareTo(Task other) {
                return Long.compare(atMillis, other.atMillis);
            }
        }

        @Override
        public void after(long delayMillis, Runnable task) {
            tasks.add(new Task(nowMillis + delayMillis, task));
        }

        @Override
        public long nowMillis() {
            return nowMillis;
        }

        void pass(long millis) {
            long untilMillis = nowMillis + millis;
            while (!tasks.isEmpty() && tasks.peek().atMillis() <= untilMillis) {
                Task next = tasks.remove();
                nowMillis = next.atMillis();
                next.run().run();
            }
            nowMillis = untilMillis;
        }
    }

    private void hear(
            InetSocketAddress from, String process, Map<TargetIncarnation, LoadShare> at) {
        wire.receiver.accept(from, new LoadRecord(process, at).encode());
    }

    @BeforeEach
    void meet() {
        exchange.peers(List.of(PEER));
        time.pass(1_000);
        wire.sent.clear();
    }

    @Nested
    class Telling {

        @Test
        void shouldTellOnceWhatChangedWithinAMoment() {
            own.put(ENGINE, SOME);
            exchange.changed();
            own.put(ENGINE, MORE);
            exchange.changed();

            time.pass(100);

            assertThat(wire.sent).hasSize(1);
            assertThat(wire.last().shares()).containsExactly(ENGINE, MORE);
        }

        // Guards against a peer that is taken for gone since its long requests do not change.
        @Test
        void shouldRepeatItselfWhenNothingChanges() {
            own.put(ENGINE, SOME);
            exchange.changed();

            time.pass(1_000);

            assertThat(wire.sent.size()).isAtLeast(2);
            assertThat(wire.last().shares()).containsExactly(ENGINE, SOME);
        }

        @Test
        void shouldFallSilentWhenItHasNothing() {
            exchange.changed();

            time.pass(10_000);

            assertThat(wire.sent).hasSize(1);
            assertThat(wire.last().shares()).isEmpty();
        }

        @Test
        void shouldTellNobodyWithoutPeers() {
            exchange.peers(List.of());
            own.put(ENGINE, SOME);
            exchange.changed();

            time.pass(1_000);

            assertThat(wire.sent).isEmpty();
        }
    }

    @Nested
    class Hearing {

        @Test
        void shouldAddUpWhatPeersHave() {
            exchange.peers(List.of(PEER, STRANGER));
            hear(PEER, "one", Map.of(ENGINE, SOME));
            hear(STRANGER, "two", Map.of(ENGINE, SOME, OTHER, SOME));

            assertThat(others).containsExactly(ENGINE, new LoadShare(4, 1_800), OTHER, SOME);
        }

        // Guards against load that stays for good after the message of its end was lost.
        @Test
        void shouldForgetWhatAPeerNoLongerNames() {
            hear(PEER, "one", Map.of(ENGINE, SOME, OTHER, SOME));

            hear(PEER, "one", Map.of(OTHER, MORE));

            assertThat(others).containsExactly(ENGINE, LoadShare.empty(), OTHER, MORE);
        }

        // Guards against the load of a process that was killed beside that of its successor.
        @Test
        void shouldForgetAPeerThatFellSilent() {
            hear(PEER, "killed", Map.of(ENGINE, SOME));
            time.pass(1_500);

            hear(PEER, "successor", Map.of(ENGINE, MORE));

            assertThat(others).containsExactly(ENGINE, MORE);
        }

        @Test
        void shouldNotListenToAStranger() {
            hear(STRANGER, "stranger", Map.of(ENGINE, SOME));

            assertThat(others).isEmpty();
        }

        // Guards against a message of another version, or of other software, that ends the thread.
        @Test
        void shouldPassOverWhatItCannotRead() {
            wire.receiver.accept(PEER, new byte[] {1, 2, 3});
            hear(PEER, "one", Map.of(ENGINE, SOME));

            assertThat(others).containsExactly(ENGINE, SOME);
        }
    }
}
