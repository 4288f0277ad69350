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

/** Reads callers' requests, finds their routes and passes them on. On the traffic thread. */
final class GatewayHandler implements HttpHandler {
    /** When a request arrived that was held. */
    private static final AttachmentKey<Long> ARRIVED_MILLIS = AttachmentKey.create(Long.class);

    private final GatewayServices services;
    private final AtomicInteger connections = new AtomicInteger();
    private final AtomicInteger inProgress = new AtomicInteger();

    private final BooleanSupplier closing;

    private GatewayHandler(GatewayServices services, BooleanSupplier closing) {
        this.services = services;
        this.closing = closing;
    }

    static GatewayHandler of(GatewayServices services, BooleanSupplier closing) {
        return new GatewayHandler(services, closing);
    }

    int inProgress() {
        return inProgress.get();
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) {
        Optional<ServingConfiguration> configuration = services.view().configuration();
        if (configuration.isEmpty()) {
            Refusals.answer(exchange, ErrorCode.NOT_READY);
            return;
        }
        if (closing.getAsBoolean()) {
            exchange.setPersistent(false);
            Refusals.answer(exchange, ErrorCode.LEAVING);
            return;
        }
        if (services.gate().closed()) {
            hold(exchange);
            return;
        }
        Optional<Route> route =
                configuration.get().routes().find(host(exchange), exchange.getRequestURI());
        if (route.isEmpty()) {
            Refusals.answer(exchange, ErrorCode.NOT_FOUND);
            return;
        }
        Optional<RequestFacts> facts = services.dialect().request(exchange.getRequestHeaders());
        if (facts.isEmpty()) {
            Refusals.answer(exchange, ErrorCode.BAD_REQUEST);
            return;
        }
        read(exchange, configuration.get(), route.get(), facts.get());
    }

    // Routed by an old configuration a request may be refused for good, or run where it no longer
    // belongs.
    private void hold(HttpServerExchange exchange) {
        if (exchange.getAttachment(ARRIVED_MILLIS) == null) {
            exchange.putAttachment(ARRIVED_MILLIS, services.nowMillis());
            count(exchange);
        }
        exchange.dispatch(
                SameThreadExecutor.INSTANCE,
                () ->
                        services.gate()
                                .whenOpen(
                                        () -> Connectors.executeRootHandler(this, exchange),
                                        () -> Refusals.outdated(exchange, services.draw())));
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
            RequestFacts facts) {
        long arrivedMillis =
                Optional.ofNullable(exchange.getAttachment(ARRIVED_MILLIS))
                        .orElseGet(services::nowMillis);
        int mostBytes = configuration.limits().maximumBodyBytes();
        if (exchange.getRequestContentLength() > mostBytes) {
            Refusals.answer(exchange, ErrorCode.BODY_TOO_LARGE);
            return;
        }
        if (exchange.getAttachment(ARRIVED_MILLIS) == null) {
            count(exchange);
        }
        Receiver receiver = exchange.getRequestReceiver();
        receiver.setMaxBufferSize(mostBytes);
        receiver.receiveFullBytes(
                (same, body) ->
                        exchange.dispatch(
                                SameThreadExecutor.INSTANCE,
                                () ->
                                        forward(
                                                exchange,
                                                new ForwardedRequest.Accepted(
                                                        route,
                                                        route.service(services.draw()),
                                                        facts,
                                                        body,
                                                        arrivedMillis,
                                                        configuration.version()))),
                (same, failure) -> Refusals.answer(exchange, ErrorCode.BODY_TOO_LARGE));
    }

    private void count(HttpServerExchange exchange) {
        inProgress.incrementAndGet();
        exchange.addExchangeCompleteListener(
                (ended, next) -> {
                    inProgress.decrementAndGet();
                    next.proceed();
                });
    }

    private void forward(HttpServerExchange exchange, ForwardedRequest.Accepted accepted) {
        ForwardedRequest.start(
                services, exchange, CallerConnection.of(exchange, connections), accepted);
    }
}
