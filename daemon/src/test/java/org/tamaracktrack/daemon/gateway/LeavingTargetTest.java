package org.tamaracktrack.daemon.gateway;

import static com.google.common.truth.Truth.assertThat;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.undertow.server.DefaultByteBufferPool;
import io.undertow.util.HeaderMap;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.tamaracktrack.core.account.AccountDirectory;
import org.tamaracktrack.core.dispatch.FleetRetryBudget;
import org.tamaracktrack.core.fleet.FleetSnapshot;
import org.tamaracktrack.core.fleet.TargetAddress;
import org.tamaracktrack.core.fleet.TargetEntry;
import org.tamaracktrack.core.fleet.TargetIncarnation;
import org.tamaracktrack.core.id.DataCentreId;
import org.tamaracktrack.core.id.ServiceId;
import org.tamaracktrack.core.id.SoftwareVersion;
import org.tamaracktrack.core.id.TargetId;
import org.tamaracktrack.core.quarantine.Hold;
import org.tamaracktrack.core.quarantine.Quarantine;
import org.tamaracktrack.core.quarantine.RequestFingerprint;
import org.tamaracktrack.core.quarantine.Suspect;
import org.tamaracktrack.core.route.RequestLimits;
import org.tamaracktrack.core.route.Route;
import org.tamaracktrack.core.route.RouteKind;
import org.tamaracktrack.core.route.RouteTable;
import org.tamaracktrack.core.route.ServiceSpecification;
import org.tamaracktrack.core.route.ServingConfiguration;
import org.tamaracktrack.core.route.WeightedService;
import org.tamaracktrack.daemon.relay.TestWorker;
import org.tamaracktrack.link.http.HttpCall;
import org.tamaracktrack.link.http.HttpFailure;
import org.tamaracktrack.link.http.HttpListener;
import org.tamaracktrack.link.http.HttpStream;
import org.xnio.XnioWorker;

/** Tests the check of the target right before the first byte of a request is sent. */
class LeavingTargetTest {
    private static final ServiceId SERVICE = ServiceId.of("plain");
    private static final int REFUSED_STATUS = 503;
    private static final long REST_MILLIS = 60_000;
    private static final DataCentreId HOME = DataCentreId.of("home");

    private final BlockingQueue<PendingCall> pendingCalls = new LinkedBlockingQueue<>();
    private XnioWorker worker;
    private DefaultByteBufferPool buffers;
    private Gateway gateway;

    /** Whether calls find an open connection, so that they are sent on the traffic thread. */
    private volatile boolean sendsAtOnce;

    /** A call that waits for its connection. */
    private record PendingCall(HttpCall call, BooleanSupplier maySend, HttpListener listener) {}

    /** Leaves each call waiting for its connection. */
    private final class WaitingCaller extends StubHttpCaller {
        @Override
        public HttpStream stream(HttpCall call, BooleanSupplier maySend, HttpListener listener) {
            if (sendsAtOnce) {
                assertThat(maySend.getAsBoolean()).isTrue();
            }
            pendingCalls.add(new PendingCall(call, maySend, listener));
            return IDLE_STREAM;
        }
    }

    /** Returns the same metadata for all headers. */
    private static final class FixedHeaderProtocol implements HeaderProtocol {
        @Override
        public Optional<RequestMetadata> parseRequest(HeaderMap headers) {
            return Optional.of(
                    new RequestMetadata(
                            "a1",
                            OptionalLong.empty(),
                            Optional.empty(),
                            0,
                            OptionalLong.empty(),
                            List.of(),
                            Optional.empty(),
                            Optional.empty()));
        }

        @Override
        public Map<String, String> toTargetHeaders(HeaderMap headers, ForwardingContext send) {
            return Map.of();
        }

        @Override
        public ResponseMetadata parseResponse(int status, Map<String, String> headers) {
            boolean refused = status == REFUSED_STATUS;
            return new ResponseMetadata(
                    Optional.of("a1"),
                    true,
                    refused,
                    Optional.empty(),
                    false,
                    headers.containsKey("leaving"),
                    refused ? OptionalLong.of(REST_MILLIS) : OptionalLong.empty());
        }
    }

    @BeforeEach
    void start() throws IOException {
        worker = TestWorker.start();
        buffers = new DefaultByteBufferPool(false, 4_096);
        InetSocketAddress anyPort = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        gateway =
                Gateway.start(
                        new Gateway.ServerOptions(
                                anyPort,
                                anyPort,
                                "/ready",
                                HOME,
                                new FleetRetryBudget(10, 10_000, 50)),
                        worker,
                        buffers,
                        new WaitingCaller(),
                        new FixedHeaderProtocol(),
                        new SimpleMeterRegistry(),
                        new SplittableRandom(1));
        gateway.configure(configuration());
        gateway.updateFleet(fleet(false));
    }

    @AfterEach
    void close() {
        gateway.close();
        worker.shutdownNow();
        buffers.close();
    }

    private static ServingConfiguration configuration() {
        return configuration(1, Duration.ofSeconds(10).toMillis());
    }

    private static ServingConfiguration configuration(long version, long timeoutMillis) {
        Route route =
                new Route(
                        "lookup",
                        "example",
                        "/lookup/",
                        RouteKind.IDEMPOTENT,
                        false,
                        timeoutMillis,
                        500,
                        0,
                        2,
                        false,
                        List.of(new WeightedService(SERVICE, 1)));
        return new ServingConfiguration(
                version,
                RouteTable.of(List.of(route)),
                Map.of(SERVICE, new ServiceSpecification(SERVICE, Optional.empty(), 0)),
                new RequestLimits(10_000),
                AccountDirectory.empty());
    }

    private static FleetSnapshot fleet(boolean leaving) {
        TargetEntry first = entry("r1", leaving);
        TargetEntry second = entry("r2", false);
        return leaving
                ? FleetSnapshot.of(
                        Map.of(
                                first.incarnation().target(),
                                first,
                                second.incarnation().target(),
                                second))
                : FleetSnapshot.of(Map.of(first.incarnation().target(), first));
    }

    private static TargetEntry entry(String name, boolean leaving) {
        return entry(name, leaving, "v1");
    }

    private static TargetEntry entry(String name, boolean leaving, String version) {
        return new TargetEntry(
                new TargetIncarnation(TargetId.of(name), 0),
                SERVICE,
                SoftwareVersion.of(version),
                new TargetAddress("127.0.0.1", 9),
                HOME,
                8,
                leaving,
                leaving ? 2 : 1,
                Map.of(),
                Set.of(),
                Set.of());
    }

    private Socket lookup() throws IOException {
        Socket socket = new Socket();
        socket.connect(gateway.callersAddress());
        socket.getOutputStream()
                .write(
                        "GET /lookup/ HTTP/1.1\r\nHost: example\r\nContent-Length: 0\r\n\r\n"
                                .getBytes(StandardCharsets.UTF_8));
        return socket;
    }

    private PendingCall nextCall() throws InterruptedException {
        PendingCall call = pendingCalls.poll(10, TimeUnit.SECONDS);
        assertThat(call).isNotNull();
        return call;
    }

    // Guards against a request that waits for a connection while its target announces that it
    // leaves, and is sent there long afterwards.
    @Test
    void shouldNotSendTheRequestWhenTheTargetLeavesWhileTheConnectionOpens() throws Exception {
        try (Socket inTime = lookup();
                Socket late = lookup()) {
            PendingCall first = nextCall();
            PendingCall second = nextCall();
            assertThat(first.maySend().getAsBoolean()).isTrue();

            gateway.updateFleet(fleet(true));

            assertThat(second.maySend().getAsBoolean()).isFalse();
            worker.getIoThread().execute(() -> second.listener().onFailure(HttpFailure.NOT_SENT));
            assertThat(nextCall().maySend().getAsBoolean()).isTrue();
        }
    }

    // Guards against a request that waits for a connection while its target asks for a rest, and is
    // sent there during the rest.
    @Test
    void shouldNotSendTheRequestWhenTheTargetAsksForRestWhileTheConnectionOpens() throws Exception {
        try (Socket refused = lookup();
                Socket late = lookup()) {
            PendingCall first = nextCall();
            PendingCall second = nextCall();
            assertThat(first.maySend().getAsBoolean()).isTrue();

            worker.getIoThread().execute(() -> first.listener().onHead(REFUSED_STATUS, Map.of()));
            assertThat(status(refused)).isEqualTo("HTTP/1.1 503");

            assertThat(second.maySend().getAsBoolean()).isFalse();
            worker.getIoThread().execute(() -> second.listener().onFailure(HttpFailure.NOT_SENT));
            assertThat(status(late)).isEqualTo("HTTP/1.1 503");
        }
    }

    // Guards against a rest that binds the next target at the same name, which has not asked for
    // it.
    @Test
    void shouldSendTheRequestWhenTheRestingTargetHasStartedAgain() throws Exception {
        try (Socket refused = lookup()) {
            PendingCall first = nextCall();
            assertThat(first.maySend().getAsBoolean()).isTrue();
            worker.getIoThread().execute(() -> first.listener().onHead(REFUSED_STATUS, Map.of()));
            assertThat(status(refused)).isEqualTo("HTTP/1.1 503");
            TargetEntry restarted = startedAgain(entry("r1", false));

            gateway.updateFleet(
                    FleetSnapshot.of(Map.of(restarted.incarnation().target(), restarted)));

            try (Socket caller = lookup()) {
                assertThat(nextCall().maySend().getAsBoolean()).isTrue();
            }
        }
    }

    // Guards against a request that waits for a connection while an answer of its target states
    // that the target leaves, and is sent there long afterwards.
    @Test
    void shouldNotSendTheRequestWhenAnAnswerStatesLeavingWhileTheConnectionOpens()
            throws Exception {
        try (Socket answered = lookup()) {
            PendingCall first = nextCall();
            assertThat(first.maySend().getAsBoolean()).isTrue();
            try (Socket late = lookup()) {
                PendingCall second = nextCall();

                receiveHead(first, Map.of("leaving", "1"));
                gateway.updateFleet(fleet(false));

                assertThat(second.maySend().getAsBoolean()).isFalse();
                worker.getIoThread()
                        .execute(() -> second.listener().onFailure(HttpFailure.NOT_SENT));
                assertThat(status(late)).isEqualTo("HTTP/1.1 503");
            }
        }
    }

    private static TargetEntry startedAgain(TargetEntry before) {
        return new TargetEntry(
                new TargetIncarnation(before.incarnation().target(), 1),
                before.service(),
                before.version(),
                before.address(),
                before.dataCentre(),
                before.slots(),
                before.leaving(),
                2,
                Map.of(),
                Set.of(),
                Set.of());
    }

    // Guards against a target that is avoided because its answers do not state that it leaves.
    @Test
    void shouldSendTheRequestWhenTheAnswerDoesNotStateLeaving() throws Exception {
        try (Socket answered = lookup();
                Socket next = lookup()) {
            PendingCall first = nextCall();
            PendingCall second = nextCall();
            assertThat(first.maySend().getAsBoolean()).isTrue();

            receiveHead(first, Map.of());

            assertThat(second.maySend().getAsBoolean()).isTrue();
        }
    }

    private void receiveHead(PendingCall call, Map<String, String> headers) {
        CompletableFuture<Void> received = new CompletableFuture<>();
        worker.getIoThread()
                .execute(
                        () -> {
                            call.listener().onHead(200, headers);
                            received.complete(null);
                        });
        received.join();
    }

    // Guards against a stream that continues at another software version because its target started
    // again with that version, under its own name, while the connection was opened.
    @Test
    void shouldNotSendTheRequestWhenTheTargetChangesItsVersion() throws Exception {
        try (Socket caller = lookup()) {
            PendingCall call = nextCall();

            TargetEntry updated = entry("r1", false, "v2");
            gateway.updateFleet(FleetSnapshot.of(Map.of(updated.incarnation().target(), updated)));

            assertThat(call.maySend().getAsBoolean()).isFalse();
        }
    }

    // Guards against a request that is sent although it was quarantined while it waited for its
    // connection.
    @Test
    void shouldNotSendTheRequestWhenItIsQuarantinedWhileTheConnectionOpens() throws Exception {
        try (Socket caller = lookup()) {
            PendingCall call = nextCall();
            Suspect request = RequestFingerprint.of("GET", "example", "/lookup/", new byte[0]);
            Hold hold = new Hold(3, 3, 0, Set.of(), Hold.Trial.NONE, List.of());

            gateway.updateQuarantine(new Quarantine(Set.of(request), Map.of(request, hold)));

            assertThat(call.maySend().getAsBoolean()).isFalse();
            worker.getIoThread().execute(() -> call.listener().onFailure(HttpFailure.NOT_SENT));
            assertThat(status(caller)).isEqualTo("HTTP/1.1 503");
        }
    }

    private static String status(Socket socket) throws IOException {
        socket.setSoTimeout((int) Duration.ofSeconds(10).toMillis());
        return new String(socket.getInputStream().readNBytes(12), StandardCharsets.UTF_8);
    }

    // Guards against telling a caller that its request may have run when the deadline passes before
    // a connection to a target was open: a request that must not run twice is lost then.
    @Test
    void shouldAnswerNotRunWhenTheDeadlinePassesBeforeTheRequestIsSent() throws Exception {
        gateway.configure(configuration(2, 150));
        try (Socket caller = lookup()) {
            PendingCall call = nextCall();

            assertThat(status(caller)).isEqualTo("HTTP/1.1 503");
            assertThat(call.maySend().getAsBoolean()).isFalse();
        }
    }

    @Test
    void shouldAnswerOutcomeUnknownWhenTheDeadlinePassesAfterTheRequestWasSent() throws Exception {
        sendsAtOnce = true;
        gateway.configure(configuration(2, 150));
        try (Socket caller = lookup()) {
            nextCall();

            assertThat(status(caller)).isEqualTo("HTTP/1.1 504");
        }
    }
}
