package org.tamaracktrack.daemon.gateway;

import io.undertow.io.Receiver;
import io.undertow.server.Connectors;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.AttachmentKey;
import io.undertow.util.Headers;
import io.undertow.util.SameThreadExecutor;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import org.tamaracktrack.core.error.ErrorCode;
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
        if (context.gate().isClosed()) {
            hold(exchange);
            return;
        }
        Optional<Route> route =
                configuration.get().routes().find(host(exchange), exchange.getRequestURI());
        if (route.isEmpty()) {
            Refusals.send(exchange, ErrorCode.NOT_FOUND);
            return;
        }
        Optional<RequestMetadata> metadata =
                context.protocol().parseRequest(exchange.getRequestHeaders());
        if (metadata.isEmpty()) {
            Refusals.send(exchange, ErrorCode.BAD_REQUEST);
            return;
        }
        read(exchange, configuration.get(), route.get(), metadata.get());
    }

    // Under an outdated configuration a request may be refused finally, or run on a service that it
    // no longer belongs to.
    private void hold(HttpServerExchange exchange) {
        if (exchange.getAttachment(ARRIVED_MILLIS) == null) {
            exchange.putAttachment(ARRIVED_MILLIS, context.nowMillis());
            countInProgress(exchange);
        }
        exchange.dispatch(
                SameThreadExecutor.INSTANCE,
                () ->
                        context.gate()
                                .whenOpen(
                                        () -> Connectors.executeRootHandler(this, exchange),
                                        () -> Refusals.sendOutdated(exchange, context.draw())));
    }

    private static String host(HttpServerExchange exchange) {
        String host =
                Optional.ofNullable(exchange.getRequestHeaders().getFirst(Headers.HOST)).orElse("");
        int port = host.lastIndexOf(':');
        return (port < 0 ? host : host.substring(0, port)).toLowerCase(Locale.ROOT);
    }

    private void read(
            HttpServerExchange exchange,
            ServingConfiguration configuration,
            Route route,
            RequestMetadata metadata) {
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
        Receiver receiver = exchange.getRequestReceiver();
        receiver.setMaxBufferSize(maxBodyBytes);
        receiver.receiveFullBytes(
                (same, body) ->
                        exchange.dispatch(
                                SameThreadExecutor.INSTANCE,
                                () ->
                                        forward(
                                                exchange,
                                                new ForwardedRequest.AcceptedRequest(
                                                        route,
                                                        route.service(context.draw()),
                                                        metadata,
                                                        body,
                                                        arrivedMillis,
                                                        configuration.version()))),
                (same, failure) -> Refusals.send(exchange, ErrorCode.BODY_TOO_LARGE));
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
