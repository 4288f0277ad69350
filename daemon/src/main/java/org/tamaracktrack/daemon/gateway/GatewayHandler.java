package org.tamaracktrack.daemon.gateway;

import io.undertow.io.Receiver;
import io.undertow.server.Connectors;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.AttachmentKey;
import io.undertow.util.SameThreadExecutor;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
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
    private final AtomicInteger inProgress = new AtomicInteger();

    private final BooleanSupplier refusesNewRequests;

    private GatewayHandler(GatewayContext context, BooleanSupplier refusesNewRequests) {
        this.context = context;
        this.refusesNewRequests = refusesNewRequests;
    }

    static GatewayHandler of(GatewayContext context, BooleanSupplier refusesNewRequests) {
        return new GatewayHandler(context, refusesNewRequests);
    }

    int inProgress() {
        return inProgress.get();
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) {
        context.departures().checkIfLate();
        Optional<ServingConfiguration> configuration = context.view().configuration();
        if (configuration.isEmpty()) {
            Refusals.send(exchange, ErrorCode.NOT_READY);
            return;
        }
        if (refusesNewRequests.getAsBoolean()) {
            exchange.setPersistent(false);
            Refusals.send(exchange, ErrorCode.LEAVING);
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
        inProgress.incrementAndGet();
        exchange.addExchangeCompleteListener(
                (ended, next) -> {
                    inProgress.decrementAndGet();
                    next.proceed();
                });
    }

    private void forward(HttpServerExchange exchange, ForwardedRequest.AcceptedRequest accepted) {
        ForwardedRequest.start(
                context, exchange, CallerConnection.of(exchange, connections), accepted);
    }
}
