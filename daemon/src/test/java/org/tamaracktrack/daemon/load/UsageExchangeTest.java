package org.tamaracktrack.daemon.load;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.tamaracktrack.core.admission.ServiceUsage;
import org.tamaracktrack.core.admission.SharedAccountUsage;
import org.tamaracktrack.core.admission.UsageReport;
import org.tamaracktrack.core.error.TamaracktrackException;
import org.tamaracktrack.core.id.ClientAccountId;
import org.tamaracktrack.core.id.ServiceId;

class UsageExchangeTest {
    private static final InetSocketAddress PEER = new InetSocketAddress("127.0.0.1", 2);
    private static final InetSocketAddress STRANGER = new InetSocketAddress("127.0.0.1", 3);
    private static final ServiceId SERVICE = ServiceId.of("drafts");
    private static final ClientAccountId ACCOUNT = ClientAccountId.of("account");
    private static final UsageReport REPORT =
            new UsageReport(
                    "peer", 1, Map.of(SERVICE, new ServiceUsage(Map.of(ACCOUNT, 700L), 2, 9)));

    private final FakeDatagrams socket = new FakeDatagrams();
    private final VirtualTime time = new VirtualTime();
    private final SharedAccountUsage usage = SharedAccountUsage.empty();
    private boolean sends = true;
    private final UsageExchange exchange =
            UsageExchange.of("self", DatagramKinds.of(socket).usages(), time, usage, () -> sends);

    UsageExchangeTest() {
        exchange.updatePeers(List.of(PEER));
        time.advance(1_000);
    }

    private void send(int tokens) {
        usage.recordSent(SERVICE, ACCOUNT, tokens);
        exchange.onUsageChanged();
    }

    @Nested
    class Sending {

        @Test
        void shouldSendOneMessageWhenChangesAreCloseTogether() {
            send(100);
            time.advance(66);
            send(200);
            assertThat(socket.sent).isEmpty();

            time.advance(1);

            assertThat(socket.sent).hasSize(1);
            assertThat(UsageRecord.decode(socket.lastSent()).services().get(SERVICE).tokens())
                    .containsExactly(ACCOUNT, 300L);
        }

        // Guards against a usage that peers let expire while long requests run.
        @Test
        void shouldResendWhenUsageStaysUnchanged() {
            send(100);
            time.advance(67 + 4 * 450);

            assertThat(socket.sent).hasSize(5);
            assertThat(UsageRecord.decode(socket.lastSent()).sequence()).isEqualTo(5);
        }

        // Guards against an account that peers hold back after its requests have ended.
        @Test
        void shouldSendEmptyMessageOnceWhenLastRequestEnds() {
            send(100);
            time.advance(100);
            usage.recordEnd(SERVICE, ACCOUNT, 100);
            exchange.onUsageChanged();
            time.advance(10_000);

            assertThat(socket.sent).hasSize(2);
            assertThat(UsageRecord.decode(socket.lastSent()).services()).isEmpty();
        }

        @Test
        void shouldSendNothingWhenSwitchedOff() {
            sends = false;
            send(100);
            time.advance(2_000);
            assertThat(socket.sent).isEmpty();

            sends = true;
            time.advance(450);
            assertThat(socket.sent).hasSize(1);
        }

        // Guards against control traffic beyond 15 KB/s at a daemon with many accounts and peers.
        @Test
        void shouldSendAtMostSixKilobytesPerSecondWhenUsageChangesOften() {
            List<InetSocketAddress> peers = new ArrayList<>();
            for (int port = 1; port <= 8; port++) {
                peers.add(new InetSocketAddress("127.0.0.1", port));
            }
            exchange.updatePeers(peers);
            for (int step = 0; step < 1_000; step++) {
                usage.recordSent(SERVICE, ClientAccountId.of("account-" + step % 16), 1_000);
                exchange.onUsageChanged();
                time.advance(10);
            }

            int bytes = socket.sent.stream().mapToInt(message -> message.length).sum();
            assertThat(bytes).isLessThan(62_000);
            assertThat(socket.sent.size()).isAtLeast(8 * 10 * 1_000 / 450);
        }

        @Test
        void shouldNameSixtyFourAccountsWithinFourKilobytes() {
            SharedAccountUsage many = SharedAccountUsage.empty();
            for (int index = 0; index < 70; index++) {
                many.recordSent(
                        ServiceId.of(index % 2 == 0 ? "drafts" : "summaries"),
                        ClientAccountId.of("customer-with-a-name-" + index),
                        index < 64 ? 1_460 : 1_400);
            }
            UsageReport report = new UsageReport("run", 1, many.ownUsage());

            assertThat(
                            report.services().values().stream()
                                    .mapToInt(each -> each.tokens().size())
                                    .sum())
                    .isEqualTo(64);
            assertThat(UsageRecord.encode(report).length).isLessThan(4_000);
        }
    }

    @Nested
    class Receiving {

        @Test
        void shouldRecordUsageOfPeer() {
            socket.receiver.accept(PEER, UsageRecord.encode(REPORT));

            assertThat(UsageRecord.decode(UsageRecord.encode(REPORT))).isEqualTo(REPORT);
            assertThat(usage.peerTokens(SERVICE, ACCOUNT, time.nowMillis())).isEqualTo(700);
        }

        @Test
        void shouldIgnoreMessageFromUnknownAddress() {
            socket.receiver.accept(STRANGER, UsageRecord.encode(REPORT));

            assertThat(usage.accountsInUse(time.nowMillis())).isEmpty();
        }

        // Guards against a daemon of an earlier version that fails on a usage datagram.
        @Test
        void shouldBeUnreadableAsLoad() {
            byte[] message = UsageRecord.encode(REPORT);

            assertThrows(TamaracktrackException.class, () -> LoadRecord.decode(message));
        }
    }

    // Guards against datagrams that a receiver truncates, and against their cost.
    @Property(tries = 30, seed = "51")
    void shouldStayBelowFourKilobytesWhenNamesAreMany(
            @ForAll @IntRange(min = 1, max = 120) int services,
            @ForAll @IntRange(min = 1, max = 80) int accounts,
            @ForAll @IntRange(min = 1, max = 120) int nameLength) {
        SharedAccountUsage many = SharedAccountUsage.empty();
        for (int service = 0; service < services; service++) {
            for (int index = 0; index < accounts; index++) {
                String name = "a".repeat(nameLength) + index;
                many.recordSent(
                        ServiceId.of("s".repeat(nameLength) + service),
                        ClientAccountId.of(name),
                        1_000_000_000L + index);
            }
        }

        byte[] message = UsageRecord.encode(new UsageReport("run", 1, many.ownUsage()));

        assertThat(message.length).isLessThan(4_000);
    }

    // Guards against received bytes that end the traffic thread with an exception.
    @Property(tries = 500, seed = "52")
    void shouldGoOnWhenBytesAreUnreadable(
            @ForAll @Size(max = 60) byte[] bytes, @ForAll @IntRange(min = 0, max = 29) int kept) {
        byte[] message = Arrays.copyOf(UsageRecord.encode(REPORT), kept + 1 + bytes.length);
        System.arraycopy(bytes, 0, message, kept + 1, bytes.length);
        exchange.updatePeers(List.of());
        exchange.updatePeers(List.of(PEER));
        socket.receiver.accept(PEER, message);
        message[0] = (byte) 0xc0;
        socket.receiver.accept(PEER, message);

        socket.receiver.accept(
                PEER, UsageRecord.encode(new UsageReport("new", 1, REPORT.services())));
        assertThat(usage.peerTokens(SERVICE, ACCOUNT, time.nowMillis())).isEqualTo(700);
    }
}
