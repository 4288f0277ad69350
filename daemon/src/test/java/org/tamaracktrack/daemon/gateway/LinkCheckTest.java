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
import org.tamaracktrack.core.fleet.Fleet;
import org.tamaracktrack.core.fleet.TargetAddress;
import org.tamaracktrack.core.fleet.TargetEntry;
import org.tamaracktrack.core.fleet.TargetIncarnation;
import org.tamaracktrack.core.id.DataCentreId;
import org.tamaracktrack.core.id.ServiceId;
import org.tamaracktrack.core.id.TargetId;
import org.tamaracktrack.link.http.HttpCall;
import org.tamaracktrack.link.http.HttpCaller;
import org.tamaracktrack.link.http.HttpListener;
import org.tamaracktrack.link.http.HttpResponse;
import org.tamaracktrack.link.http.HttpStream;

class LinkCheckTest {
    private final List<InetSocketAddress> tried = new ArrayList<>();
    private final CompletableFuture<Boolean> answer = new CompletableFuture<>();
    private Fleet fleet = Fleet.empty();
    private long nowMillis = 100_000;
    private final LinkCheck check =
            new LinkCheck(new Caller(), () -> fleet, () -> nowMillis, new SplittableRandom(1));

    /** Notes who is tried. */
    private final class Caller implements HttpCaller {
        @Override
        public HttpResponse call(HttpCall call) {
            throw new AssertionError("nothing is called here");
        }

        @Override
        public HttpStream stream(HttpCall call, BooleanSupplier maySend, HttpListener listener) {
            throw new AssertionError("nothing is called here");
        }

        @Override
        public CompletableFuture<Boolean> refusesConnections(
                InetSocketAddress address, long limitMillis) {
            throw new AssertionError("nobody asks for it here");
        }

        @Override
        public CompletableFuture<Boolean> answersConnections(
                InetSocketAddress address, long limitMillis) {
            tried.add(address);
            return answer;
        }

        @Override
        public void close() {
            // Nothing is open.
        }
    }

    private static TargetEntry target(int port) {
        return new TargetEntry(
                new TargetIncarnation(TargetId.of("r" + port), 0),
                ServiceId.of("plain"),
                new TargetAddress("127.0.0.1", port),
                DataCentreId.of("home"),
                8,
                false,
                1,
                Map.of(),
                Set.of(),
                Set.of());
    }

    private void know(int port) {
        TargetEntry entry = target(port);
        fleet = Fleet.of(Map.of(entry.incarnation().target(), entry));
    }

    private boolean reached() {
        return check.reachesTargets().getNow(false);
    }

    @Test
    void shouldReachOthersWhenATargetAnswers() {
        know(80);
        assertThat(reached()).isFalse();

        answer.complete(true);

        assertThat(reached()).isTrue();
    }

    // Guards against a follower that ends for good since one entry has an address of no host.
    @Test
    void shouldReachNobodyWhenAnAddressCanNotBeTried() {
        know(70_000);

        assertThat(reached()).isFalse();
    }

    // Guards against hundreds of daemons that take the targets' connections in an outage.
    @Test
    void shouldTryOnceWhenChecksAreAskedForTogether() {
        know(80);
        check.reachesTargets();
        int before = tried.size();

        nowMillis += 80;
        check.reachesTargets();

        assertThat(tried).hasSize(before);
        nowMillis += 40;
        check.reachesTargets();
        assertThat(tried.size()).isGreaterThan(before);
    }

    @Test
    void shouldTryNobodyWhenATargetHasAnsweredARequestAtOnce() {
        know(80);
        check.answered(nowMillis - 100);

        assertThat(reached()).isTrue();
        assertThat(tried).isEmpty();
    }

    // Guards against a link that passes for free since a request was answered after long.
    @Test
    void shouldTryATargetWhenARequestWasAnsweredLate() {
        know(80);
        check.answered(nowMillis - 300);

        assertThat(reached()).isFalse();
        assertThat(tried).isNotEmpty();
    }

    @Test
    void shouldReachOthersWhenNoTargetIsKnown() {
        assertThat(reached()).isTrue();
    }
}
