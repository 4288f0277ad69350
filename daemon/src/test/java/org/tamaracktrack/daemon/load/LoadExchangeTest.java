package org.tamaracktrack.daemon.load;

import static com.google.common.truth.Truth.assertThat;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.tamaracktrack.core.dispatch.LoadShare;
import org.tamaracktrack.core.dispatch.RelayedReport;
import org.tamaracktrack.core.dispatch.ReportedLoad;
import org.tamaracktrack.core.dispatch.WorkTime;
import org.tamaracktrack.core.fleet.TargetIncarnation;
import org.tamaracktrack.core.id.TargetId;

class LoadExchangeTest {
    private static final InetSocketAddress PEER = new InetSocketAddress("127.0.0.1", 2);
    private static final InetSocketAddress OTHER_ADDRESS = new InetSocketAddress("127.0.0.1", 3);
    private static final TargetIncarnation ENGINE = new TargetIncarnation(TargetId.of("engine"), 7);
    private static final TargetIncarnation OTHER_ENGINE =
            new TargetIncarnation(TargetId.of("other"), 7);
    private static final LoadShare SMALL_SHARE = new LoadShare(2, 900);
    private static final LoadShare LARGE_SHARE = new LoadShare(3, 1_800);

    private final FakeDatagrams datagrams = new FakeDatagrams();
    private final VirtualTime time = new VirtualTime();
    private final Map<TargetIncarnation, LoadShare> ownShares = new HashMap<>();
    private final Map<TargetIncarnation, LoadShare> peerShares = new HashMap<>();
    private final List<RelayedReport> newReports = new ArrayList<>();
    private final List<RelayedReport> peerReports = new ArrayList<>();
    private final LoadExchange exchange = LoadExchange.of("self", datagrams, time, new FakeLoads());

    private final class FakeLoads implements LoadExchange.Loads {
        @Override
        public Map<TargetIncarnation, LoadShare> ownShares() {
            return Map.copyOf(ownShares);
        }

        @Override
        public List<RelayedReport> takeNewReports() {
            List<RelayedReport> taken = List.copyOf(newReports);
            newReports.clear();
            return taken;
        }

        @Override
        public void recordPeerShare(TargetIncarnation target, LoadShare share) {
            peerShares.put(target, share);
        }

        @Override
        public void recordPeerReport(RelayedReport report) {
            peerReports.add(report);
        }
    }

    private void receive(
            InetSocketAddress from, String process, Map<TargetIncarnation, LoadShare> shares) {
        datagrams.receiver.accept(from, new LoadRecord(process, shares, List.of()).encode());
    }

    @BeforeEach
    void connectToPeer() {
        exchange.updatePeers(List.of(PEER));
        time.advance(1_000);
        datagrams.sent.clear();
    }

    @Nested
    class Reports {
        private static final RelayedReport SLOW =
                new RelayedReport(ENGINE, new ReportedLoad(3, 1, WorkTime.ofPercent(250)), 12);

        // Guards against a peer that learns from its own answers alone that a target is slow.
        @Test
        void shouldSendNewReportOnceWhenLoadIsSent() {
            ownShares.put(ENGINE, SMALL_SHARE);
            newReports.add(SLOW);
            exchange.onLoadChanged();
            time.advance(100);
            assertThat(LoadRecord.decode(datagrams.lastSent()).reports()).containsExactly(SLOW);

            exchange.onLoadChanged();
            time.advance(100);
            assertThat(LoadRecord.decode(datagrams.lastSent()).reports()).isEmpty();
        }

        @Test
        void shouldPassOnReportsWhenPeerSendsThem() {
            datagrams.receiver.accept(
                    PEER, new LoadRecord("peer", Map.of(), List.of(SLOW)).encode());

            assertThat(peerReports).containsExactly(SLOW);
        }
    }

    @Nested
    class Sending {

        @Test
        void shouldSendOneMessageWhenChangesAreCloseTogether() {
            ownShares.put(ENGINE, SMALL_SHARE);
            exchange.onLoadChanged();
            ownShares.put(ENGINE, LARGE_SHARE);
            exchange.onLoadChanged();

            time.advance(100);

            assertThat(datagrams.sent).hasSize(1);
            assertThat(LoadRecord.decode(datagrams.lastSent()).shares())
                    .containsExactly(ENGINE, LARGE_SHARE);
        }

        // Guards against a load that peers let expire because long requests do not change it.
        @Test
        void shouldResendUnchangedLoadPeriodically() {
            ownShares.put(ENGINE, SMALL_SHARE);
            exchange.onLoadChanged();

            time.advance(1_000);

            assertThat(datagrams.sent.size()).isAtLeast(2);
            assertThat(LoadRecord.decode(datagrams.lastSent()).shares())
                    .containsExactly(ENGINE, SMALL_SHARE);
        }

        @Test
        void shouldStopSendingWhenThereIsNoLoad() {
            exchange.onLoadChanged();

            time.advance(10_000);

            assertThat(datagrams.sent).hasSize(1);
            assertThat(LoadRecord.decode(datagrams.lastSent()).shares()).isEmpty();
        }

        @Test
        void shouldSendNothingWithoutPeers() {
            exchange.updatePeers(List.of());
            ownShares.put(ENGINE, SMALL_SHARE);
            exchange.onLoadChanged();

            time.advance(1_000);

            assertThat(datagrams.sent).isEmpty();
        }
    }

    @Nested
    class Receiving {

        @Test
        void shouldSumLoadOfPeers() {
            exchange.updatePeers(List.of(PEER, OTHER_ADDRESS));
            receive(PEER, "one", Map.of(ENGINE, SMALL_SHARE));
            receive(OTHER_ADDRESS, "two", Map.of(ENGINE, SMALL_SHARE, OTHER_ENGINE, SMALL_SHARE));

            assertThat(peerShares)
                    .containsExactly(ENGINE, new LoadShare(4, 1_800), OTHER_ENGINE, SMALL_SHARE);
        }

        // Guards against load that is kept forever because the message with its end was lost.
        @Test
        void shouldRemoveLoadThatPeerNoLongerReports() {
            receive(PEER, "one", Map.of(ENGINE, SMALL_SHARE, OTHER_ENGINE, SMALL_SHARE));

            receive(PEER, "one", Map.of(OTHER_ENGINE, LARGE_SHARE));

            assertThat(peerShares)
                    .containsExactly(ENGINE, LoadShare.empty(), OTHER_ENGINE, LARGE_SHARE);
        }

        // Guards against counting the load of a killed process in addition to its successor's.
        @Test
        void shouldRemoveLoadOfPeerThatStoppedSending() {
            receive(PEER, "killed", Map.of(ENGINE, SMALL_SHARE));
            time.advance(1_500);

            receive(PEER, "successor", Map.of(ENGINE, LARGE_SHARE));

            assertThat(peerShares).containsExactly(ENGINE, LARGE_SHARE);
        }

        @Test
        void shouldIgnoreMessageFromUnknownAddress() {
            receive(OTHER_ADDRESS, "stranger", Map.of(ENGINE, SMALL_SHARE));

            assertThat(peerShares).isEmpty();
        }

        // Guards against a message from another version, or other software, that ends the thread.
        @Test
        void shouldIgnoreUndecodableMessage() {
            datagrams.receiver.accept(PEER, new byte[] {1, 2, 3});
            receive(PEER, "one", Map.of(ENGINE, SMALL_SHARE));

            assertThat(peerShares).containsExactly(ENGINE, SMALL_SHARE);
        }
    }
}
