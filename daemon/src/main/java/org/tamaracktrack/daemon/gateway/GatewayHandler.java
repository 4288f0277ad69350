package org.tamaracktrack.daemon.gateway;

import io.undertow.io.Receiver;
import io.undertow.server.Connectors;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.AttachmentKey;
import io.undertow.util.SameThreadExecutor;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.tamaracktrack.core.account.Account;
import org.tamaracktrack.core.error.ErrorCode;
import org.tamaracktrack.core.quota.Admission;
import org.tamaracktrack.core.quota.QuotaMember;
import org.tamaracktrack.core.route.RequestAuthorization;
import org.tamaracktrack.core.route.Route;
import org.tamaracktrack.core.route.ServingConfiguration;
import org.tamaracktrack.daemon.connection.CallerConnection;

/** Reads callers' requests, finds their routes and forwards them. Used on the traffic thread. */
final class GatewayHandler implements HttpHandler {
    /** The arrival time of a request that was held. */
    private static final AttachmentKey<Long> ARRIVED_MILLIS = AttachmentKey.create(Long.class);

    private final GatewayContext context;
    private final AtomicInteger connections = new AtomicInteger();
    private final Set<AnswerGuard> inProgress = ConcurrentHashMap.newKeySet();

    private GatewayHandler(GatewayContext context) {
        this.context = context;
    }

    static GatewayHandler of(GatewayContext context) {
        return new GatewayHandler(context);
    }

    int inProgress() {
        return inProgress.size();
    }

    /** Answers all requests that have no part of an answer yet, since the process is to end. */
    void endAll() {
        List.copyOf(inProgress).forEach(AnswerGuard::endForStop);
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) {
        context.departures().checkIfLate();
        Optional<ServingConfiguration> configuration = context.view().configuration();
        if (configuration.isEmpty()) {
            Refusals.send(exchange, ErrorCode.NOT_READY);
            return;
        }
        if (refuseIfStopping(exchange)) {
            return;
        }
        if (JoinedHeads.in(exchange.getRequestHeaders())) {
            exchange.setPersistent(false);
            Refusals.send(exchange, ErrorCode.BAD_REQUEST);
            return;
        }
        if (context.gate().isClosed()) {
            hold(exchange, configuration.get());
            return;
        }
        RequestAuthorization.Origin origin = CallerIdentity.origin(exchange);
        RequestAuthorization authorization = context.authorize(configuration.get(), origin);
        if (authorization.refusal().isPresent()) {
            refuse(exchange, authorization.refusal().get());
            return;
        }
        Optional<RequestMetadata> metadata =
                context.protocol().parseRequest(exchange.getRequestHeaders());
        if (metadata.isEmpty()) {
            Refusals.send(exchange, ErrorCode.BAD_REQUEST);
            return;
        }
        read(exchange, configuration.get(), new Admitted(origin, authorization, metadata.get()));
    }

    // The load balancer sends no new connections by then. Callers on kept connections are told to
    // retry, and reach another daemon.
    private boolean refuseIfStopping(HttpServerExchange exchange) {
        boolean refused = context.stop().refusesRequests();
        if (refused) {
            exchange.setPersistent(false);
            Refusals.send(exchange, ErrorCode.LEAVING);
        }
        return refused;
    }

    /** A request whose head was read and is allowed by the configuration in force. */
    private record Admitted(
            RequestAuthorization.Origin origin,
            RequestAuthorization authorization,
            RequestMetadata metadata) {
        private Route route() {
            return authorization.route().orElseThrow();
        }

        private boolean hasQuota() {
            return authorization.account().flatMap(Account::quota).isPresent();
        }
    }

    private void refuse(HttpServerExchange exchange, ErrorCode code) {
        context.metrics().recordRefusal(code, Optional.empty());
        if (code == ErrorCode.OUTDATED) {
            Refusals.sendOutdated(exchange, context.draw());
        } else if (code == ErrorCode.UNAUTHENTICATED) {
            Refusals.sendUnauthenticated(exchange, context.configurationState());
        } else {
            Refusals.send(exchange, code);
        }
    }

    // Under an outdated configuration a request may be refused finally, or run on a service that it
    // no longer belongs to.
    private void hold(HttpServerExchange exchange, ServingConfiguration configuration) {
        if (exchange.getAttachment(ARRIVED_MILLIS) == null) {
            exchange.putAttachment(ARRIVED_MILLIS, context.nowMillis());
            countInProgress(exchange);
        }
        AnswerGuard guard = AnswerGuard.of(context, exchange);
        guard.startUnrouted(
                exchange.getAttachment(ARRIVED_MILLIS),
                configuration.routes().longestTimeoutMillis());
        Runnable proceed =
                guard.guardedUnlessAnswered(() -> Connectors.executeRootHandler(this, exchange));
        Runnable refuse =
                guard.guardedUnlessAnswered(() -> Refusals.sendOutdated(exchange, context.draw()));
        exchange.dispatch(
                SameThreadExecutor.INSTANCE,
                () -> guard.run(() -> context.gate().whenOpen(proceed, refuse)));
    }

    private void read(
            HttpServerExchange exchange, ServingConfiguration configuration, Admitted admitted) {
        long arrivedMillis =
                Optional.ofNullable(exchange.getAttachment(ARRIVED_MILLIS))
                        .orElseGet(context::nowMillis);
        int maxBodyBytes = configuration.limits().maximumBodyBytes();
        if (exchange.getRequestContentLength() > maxBodyBytes) {
            Refusals.send(exchange, ErrorCode.BODY_TOO_LARGE);
            return;
        }
        if (exchange.getAttachment(ARRIVED_MILLIS) == null) {
            countInProgress(exchange);
        }
        // Undertow has a lower limit of its own.
        exchange.setMaxEntitySize(maxBodyBytes);
        Receiver receiver = exchange.getRequestReceiver();
        receiver.setMaxBufferSize(maxBodyBytes);
        receiver.receiveFullBytes(
                (same, body) ->
                        exchange.dispatch(
                                SameThreadExecutor.INSTANCE,
                                AnswerGuard.of(context, exchange)
                                        .guardedUnlessAnswered(
                                                () ->
                                                        acquireQuota(
                                                                exchange,
                                                                admitted,
                                                                configuration.version(),
                                                                body,
                                                                arrivedMillis))),
                (same, failure) -> Refusals.send(exchange, ErrorCode.BODY_TOO_LARGE));
    }

    private void acquireQuota(
            HttpServerExchange exchange,
            Admitted admitted,
            long version,
            byte[] body,
            long arrivedMillis) {
        // The body may have taken long to arrive.
        if (refuseIfStopping(exchange)) {
            return;
        }
        AnswerGuard guard = AnswerGuard.of(context, exchange);
        guard.start(
                admitted.metadata(),
                admitted.route(),
                RequestDeadline.of(
                        admitted.route(), admitted.metadata(), arrivedMillis, context::nowMillis));
        AtomicBoolean callerGone = new AtomicBoolean();
        if (admitted.hasQuota()) {
            CallerConnection connection = CallerConnection.of(exchange, connections);
            connection.onClosed(() -> callerGone.set(true));
            connection.detectDisconnect(exchange);
        }
        context.acquireQuota(
                admitted.authorization().account(),
                version,
                admitted.metadata().totalTokens(),
                decision -> {
                    if (callerGone.get() || guard.isAnswered()) {
                        decision.permit().ifPresent(context::giveBackQuota);
                        return;
                    }
                    guard.run(
                            () ->
                                    onQuotaDecision(
                                            exchange, admitted, version, body, guard, decision));
                });
    }

    private void onQuotaDecision(
            HttpServerExchange exchange,
            Admitted admitted,
            long version,
            byte[] body,
            AnswerGuard guard,
            QuotaMember.Decision decision) {
        if (decision.admission().outcome() == Admission.Outcome.ADMITTED) {
            forward(
                    exchange,
                    new ForwardedRequest.AcceptedRequest(
                            admitted.origin(),
                            admitted.authorization(),
                            admitted.route().service(context.draw()),
                            admitted.metadata(),
                            body,
                            guard,
                            version,
                            decision.permit()));
        } else {
            refuse(
                    exchange,
                    new Refusals.QuotaRefusal(
                            admitted.metadata(),
                            admitted.authorization().account().orElseThrow(),
                            version,
                            decision.admission()));
        }
    }

    private void refuse(HttpServerExchange exchange, Refusals.QuotaRefusal refusal) {
        context.metrics().recordRefusal(refusal.code(), Optional.of(refusal.account().id()));
        Refusals.sendQuotaRefusal(exchange, refusal, context.draw());
    }

    private void countInProgress(HttpServerExchange exchange) {
        AnswerGuard guard = AnswerGuard.of(context, exchange);
        inProgress.add(guard);
        exchange.addExchangeCompleteListener(
                (ended, next) -> {
                    inProgress.remove(guard);
                    next.proceed();
                });
    }

    private void forward(HttpServerExchange exchange, ForwardedRequest.AcceptedRequest accepted) {
        ForwardedRequest.start(
                context, exchange, CallerConnection.of(exchange, connections), accepted);
    }
}
