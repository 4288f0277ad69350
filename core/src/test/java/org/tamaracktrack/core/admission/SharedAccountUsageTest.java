package org.tamaracktrack.core.admission;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import org.tamaracktrack.core.error.TamaracktrackException;
import org.tamaracktrack.core.id.ClientAccountId;
import org.tamaracktrack.core.id.ServiceId;

class SharedAccountUsageTest {
    private static final ServiceId SERVICE = ServiceId.of("drafts");
    private static final ClientAccountId LARGE = ClientAccountId.of("large");
    private static final ClientAccountId SMALL = ClientAccountId.of("small");
    private static final double TOLERANCE = 1e-9;

    private final SharedAccountUsage usage = SharedAccountUsage.empty();

    private static ClientAccountId account(int index) {
        return ClientAccountId.of("account-" + index);
    }

    private static UsageReport report(String process, long sequence, long tokensOfLarge) {
        Map<ServiceId, ServiceUsage> services =
                tokensOfLarge == 0
                        ? Map.of()
                        : Map.of(SERVICE, new ServiceUsage(Map.of(LARGE, tokensOfLarge), 0, 0));
        return new UsageReport(process, sequence, services);
    }

    private double excess(ClientAccountId account, long nowMillis) {
        return usage.excess(SERVICE, account, nowMillis);
    }

    @Test
    void shouldCompareWithEqualPartWhenAccountsDiffer() {
        usage.recordSent(SERVICE, LARGE, 900);
        usage.recordSent(SERVICE, SMALL, 100);

        assertThat(excess(LARGE, 0)).isWithin(TOLERANCE).of(1.8);
        assertThat(excess(SMALL, 0)).isWithin(TOLERANCE).of(0.2);
        assertThat(usage.excess(ServiceId.of("other"), LARGE, 0)).isEqualTo(0.0);
    }

    // Guards against an account that hides its excess by using many daemons.
    @Property(tries = 200, seed = "41")
    void shouldKnowSameSumWhenCallersUseOneDaemonOrAll(
            @ForAll @Size(min = 1, max = 20) List<@IntRange(min = 100, max = 200) Integer> tokens,
            @ForAll @IntRange(min = 2, max = 24) int daemons) {
        SharedAccountUsage single = SharedAccountUsage.empty();
        List<SharedAccountUsage> all =
                IntStream.range(0, daemons)
                        .mapToObj(index -> SharedAccountUsage.empty())
                        .collect(Collectors.toList());
        for (int index = 0; index < tokens.size(); index++) {
            ClientAccountId account = account(index);
            long each = tokens.get(index);
            single.recordSent(SERVICE, account, each * daemons);
            all.forEach(daemon -> daemon.recordSent(SERVICE, account, each));
        }
        SharedAccountUsage observer = all.get(0);
        for (int index = 1; index < daemons; index++) {
            UsageReport report = new UsageReport("d" + index, 1, all.get(index).ownUsage());
            observer.recordReport("address-" + index, report, 0);
        }

        for (int index = 0; index < tokens.size(); index++) {
            assertThat(observer.excess(SERVICE, account(index), 0))
                    .isWithin(TOLERANCE)
                    .of(single.excess(SERVICE, account(index), 0));
        }
    }

    /** A message as the network or a faulty peer may deliver it. */
    private record Delivery(int peer, int process, long sequence, long tokens, long delayMillis) {}

    @Property(tries = 300, seed = "42")
    void shouldRecoverWithinSecondWhenMessagesAreLostDoubledReorderedOrFalse(
            @ForAll @Size(max = 60) List<@LongRange(min = 0) Long> draws) {
        SharedAccountUsage daemon = SharedAccountUsage.empty();
        daemon.recordSent(SERVICE, SMALL, 50);
        long nowMillis = 0;
        for (long draw : draws) {
            Delivery next =
                    new Delivery(
                            (int) (draw % 3),
                            (int) (draw / 3 % 3),
                            draw / 9 % 7 == 0 ? Long.MAX_VALUE : draw / 9 % 50,
                            draw / 63 % (ServiceUsage.MAX_TOKENS + 1),
                            draw / 7 % 300);
            nowMillis += next.delayMillis();
            daemon.recordReport(
                    "address-" + next.peer(),
                    report("run-" + next.process(), next.sequence(), next.tokens()),
                    nowMillis);
            assertThat(daemon.excess(SERVICE, LARGE, nowMillis)).isAtLeast(0.0);
            assertThat(daemon.excess(SERVICE, LARGE, nowMillis)).isAtMost(2.0);
            assertThat(daemon.peerTokens(SERVICE, LARGE, nowMillis)).isAtLeast(0L);
        }
        assertThat(daemon.excess(SERVICE, SMALL, nowMillis + 1_001)).isEqualTo(1.0);

        daemon.recordReport("address-0", report("run-0", 1, 150), nowMillis + 1_001);
        assertThat(daemon.excess(SERVICE, LARGE, nowMillis + 1_001)).isWithin(TOLERANCE).of(1.5);
    }

    // Guards against a late message that brings back what has already ended.
    @Test
    void shouldIgnoreReportWhenNewerOneWasReceived() {
        usage.recordReport("peer", report("run", 7, 0), 0);
        usage.recordReport("peer", report("run", 6, 500), 1);
        usage.recordReport("peer", report("run", 7, 500), 2);

        assertThat(usage.peerTokens(SERVICE, LARGE, 2)).isEqualTo(0);
    }

    // Guards against counting the requests of a killed process in addition to its successor's.
    @Test
    void shouldReplaceReportWhenPeerRestarts() {
        usage.recordReport("peer", report("killed", 900, 500), 0);
        usage.recordReport("peer", report("successor", 1, 20), 10);
        usage.recordReport("peer", report("killed", 901, 700), 11);

        assertThat(usage.peerTokens(SERVICE, LARGE, 11)).isEqualTo(20);
    }

    // Guards against an account that is held back because of a peer that is frozen.
    @Test
    void shouldForgetPeerWhenItIsSilentForSecond() {
        usage.recordReport("frozen", report("run", 1, 500), 0);

        assertThat(usage.peerTokens(SERVICE, LARGE, 1_000)).isEqualTo(500);
        assertThat(usage.peerTokens(SERVICE, LARGE, 1_001)).isEqualTo(0);
        assertThat(usage.accountsInUse(1_001)).isEmpty();
    }

    @Test
    void shouldForgetReportWhenDaemonIsNoLongerPeer() {
        usage.recordReport("peer", report("run", 1, 500), 0);
        usage.retainPeers(Set.of("other"));

        assertThat(excess(LARGE, 0)).isEqualTo(0.0);
    }

    @Property(tries = 200, seed = "43")
    void shouldBecomeEmptyAndNeverNegativeWhenRequestsEnd(
            @ForAll @Size(max = 40) List<@IntRange(min = 1, max = 5_000) Integer> tokens) {
        SharedAccountUsage daemon = SharedAccountUsage.empty();
        for (int index = 0; index < tokens.size(); index++) {
            daemon.recordSent(SERVICE, account(index % 5), tokens.get(index));
        }
        for (int index = 0; index < tokens.size(); index++) {
            daemon.recordEnd(SERVICE, account(index % 5), tokens.get(index));
            daemon.recordEnd(SERVICE, account(index % 5 + 5), 1);
            assertThat(daemon.ownTokens(SERVICE, account(index % 5))).isAtLeast(0L);
        }
        assertThat(daemon.accountsInUse(0)).isEmpty();
        assertThat(daemon.ownUsage()).isEmpty();

        daemon.recordEnd(SERVICE, LARGE, 10);
        assertThat(daemon.ownTokens(SERVICE, LARGE)).isEqualTo(0);
    }

    @Test
    void shouldSumAccountsBelowFiftiethOfTokens() {
        usage.recordSent(SERVICE, LARGE, 4_900);
        usage.recordSent(SERVICE, SMALL, 100);
        usage.recordSent(SERVICE, account(1), 20);
        usage.recordSent(SERVICE, account(2), 30);

        assertThat(usage.ownUsage())
                .containsExactly(SERVICE, new ServiceUsage(Map.of(LARGE, 4_900L), 3, 150));
        usage.recordEnd(SERVICE, account(1), 20);
        usage.recordEnd(SERVICE, account(2), 30);
        assertThat(usage.ownUsage())
                .containsExactly(
                        SERVICE, new ServiceUsage(Map.of(LARGE, 4_900L, SMALL, 100L), 0, 0));
    }

    @Test
    void shouldRejectFiguresOutOfRange() {
        assertThrows(
                TamaracktrackException.class, () -> new ServiceUsage(Map.of(LARGE, -1L), 0, 0));
        assertThrows(
                TamaracktrackException.class,
                () -> new ServiceUsage(Map.of(), 1, ServiceUsage.MAX_TOKENS + 1));
        assertThrows(IllegalArgumentException.class, () -> usage.recordSent(SERVICE, LARGE, 0));
    }
}
