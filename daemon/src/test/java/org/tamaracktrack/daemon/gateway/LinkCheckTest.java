package org.tamaracktrack.daemon.gateway;

import static com.google.common.truth.Truth.assertThat;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.Test;
import org.tamaracktrack.core.fleet.FleetSnapshot;
import org.tamaracktrack.core.fleet.TargetAddress;
import org.tamaracktrack.core.fleet.TargetEntry;
import org.tamaracktrack.core.fleet.TargetIncarnation;
import org.tamaracktrack.core.id.DataCentreId;
import org.tamaracktrack.core.id.ServiceId;
import org.tamaracktrack.core.id.SoftwareVersion;
import org.tamaracktrack.core.id.TargetId;
import org.tamaracktrack.link.http.HttpCall;
import org.tamaracktrack.link.http.HttpCaller;
import org.tamaracktrack.link.http.HttpListener;
import org.tamaracktrack.link.http.HttpResponse;
import org.tamaracktrack.link.http.HttpStream;

class LinkCheckTest {
    private final List<InetSocketAddress> probedAddresses = new ArrayList<>();
    private final CompletableFuture<Boolean> answer = new CompletableFuture<>();
    private FleetSnapshot fleet = FleetSnapshot.empty();
    private long nowMillis = 100_000;
    private final LinkCheck check =
            new LinkCheck(new Caller(), () -> fleet, () -> nowMillis, new SplittableRandom(1));

    /** Records the addresses that are probed. */
    private final class Caller implements HttpCaller {
        @Override
        public HttpResponse call(HttpCall call) {
            throw new AssertionError("unexpected call");
        }

        @Override
        public HttpStream stream(HttpCall call, BooleanSupplier maySend, HttpListener listener) {
            throw new AssertionError("unexpected call");
        }

        @Override
        public CompletableFuture<Boolean> refusesConnections(
                InetSocketAddress address, long limitMillis) {
            throw new AssertionError("unexpected check for refused connections");
        }

        @Override
        public CompletableFuture<Boolean> answersConnections(
                InetSocketAddress address, long limitMillis) {
            probedAddresses.add(address);
            return answer;
        }

        @Override
        public void limitConnections(InetSocketAddress address, int maximumConnections) {}

        @Override
        public void close() {
            // Nothing is open.
        }
    }

    private static TargetEntry target(int port) {
        return new TargetEntry(
                new TargetIncarnation(TargetId.of("r" + port), 0),
                ServiceId.of("plain"),
                SoftwareVersion.of("v1"),
                new TargetAddress("127.0.0.1", port),
                DataCentreId.of("home"),
                8,
                false,
                1,
                Map.of(),
                Set.of(),
                Set.of());
    }

    private void useFleetWithTarget(int port) {
        TargetEntry entry = target(port);
        fleet = FleetSnapshot.of(Map.of(entry.incarnation().target(), entry));
    }

    private boolean isReachable() {
        return check.reachesTargets().getNow(false);
    }

    @Test
    void shouldReportReachableWhenATargetAnswers() {
        useFleetWithTarget(80);
        assertThat(isReachable()).isFalse();

        answer.complete(true);

        assertThat(isReachable()).isTrue();
    }

    // Guards against a follower that stops for good because one entry has an invalid address.
    @Test
    void shouldReportUnreachableWhenAnAddressIsInvalid() {
        useFleetWithTarget(70_000);

        assertThat(isReachable()).isFalse();
    }

    // Guards against hundreds of daemons that use up the targets' connections in an outage.
    @Test
    void shouldShareACheckAmongCallsWithinAShortTime() {
        useFleetWithTarget(80);
        check.reachesTargets();
        int probesBefore = probedAddresses.size();

        nowMillis += 80;
        check.reachesTargets();

        assertThat(probedAddresses).hasSize(probesBefore);
        nowMillis += 40;
        check.reachesTargets();
        assertThat(probedAddresses.size()).isGreaterThan(probesBefore);
    }

    @Test
    void shouldNotProbeWhenATargetAnsweredARecentRequestPromptly() {
        useFleetWithTarget(80);
        check.recordAnswer(nowMillis - 100);

        assertThat(isReachable()).isTrue();
        assertThat(probedAddresses).isEmpty();
    }

    // Guards against a saturated link that is reported as free because of a request that was
    // answered late.
    @Test
    void shouldProbeWhenARequestWasAnsweredLate() {
        useFleetWithTarget(80);
        check.recordAnswer(nowMillis - 300);

        assertThat(isReachable()).isFalse();
        assertThat(probedAddresses).isNotEmpty();
    }

    @Test
    void shouldReportReachableWhenNoTargetIsKnown() {
        assertThat(isReachable()).isTrue();
    }
}
