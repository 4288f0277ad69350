package org.tamaracktrack.daemon.entry;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderValues;
import io.undertow.util.Headers;
import java.io.IOException;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.tamaracktrack.core.config.Configuration;
import org.tamaracktrack.core.error.ErrorCode;
import org.tamaracktrack.core.error.TamaracktrackException;
import org.tamaracktrack.daemon.configuration.ConfigurationSource;
import org.tamaracktrack.daemon.connection.CallerConnection;
import org.xnio.XnioExecutor;

/** Handles callers' HTTP requests: reads and validates them, and starts their processing. */
final class CallerHandler implements HttpHandler {
    private static final byte[] NO_BODY = {};

    private final ConfigurationSource configuration;
    private final RequestServices services;
    private final AccountRates rates;
    private final CallerLimits limits;
    private final Authentication authentication = Authentication.of();
    private final AtomicInteger connections = new AtomicInteger();
    private volatile boolean draining;
    private volatile boolean refusingRequests;

    private CallerHandler(
            ConfigurationSource configuration,
            RequestServices services,
            AccountRates rates,
            CallerLimits limits) {
        this.configuration = configuration;
        this.services = services;
        this.rates = rates;
        this.limits = limits;
    }

    /**
     * The limits on what callers may send.
     *
     * @param maximumBodyBytes the maximum size of a request body
     * @param maximumConnections the maximum number of concurrent connections
     * @param bodyTimeoutMillis the maximum time until a body has arrived completely
     */
    record CallerLimits(int maximumBodyBytes, int maximumConnections, long bodyTimeoutMillis) {}

    static CallerHandler of(
            ConfigurationSource configuration,
            RequestServices services,
            AccountRates rates,
            CallerLimits limits) {
        return new CallerHandler(configuration, services, rates, limits);
    }

    /** Closes each connection after its next answer from now on. Thread-safe. */
    void drain() {
        draining = true;
    }

    /** Refuses new requests from now on with {@link ErrorCode#LEAVING}. Thread-safe. */
    void refuseRequests() {
        refusingRequests = true;
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) {
        CallerConnection connection = CallerConnection.of(exchange, connections);
        boolean overLimit = connections.get() > limits.maximumConnections();
        UndertowCallerChannel channel =
                UndertowCallerChannel.of(
                        exchange, connection, () -> draining || !exchange.isRequestComplete());
        try {
            if (overLimit) {
                exchange.setPersistent(false);
                throw TamaracktrackException.of(
                        ErrorCode.TOO_MANY_CONNECTIONS, "too many connections are open");
            }
            admit(exchange, channel);
        } catch (TamaracktrackException failure) {
            answerError(exchange, channel, failure);
        }
    }

    private void admit(HttpServerExchange exchange, UndertowCallerChannel channel) {
        CallerHttpRequest http = readHead(exchange);
        CallerPaths.check(http.method(), http.path());
        if (refusingRequests) {
            throw TamaracktrackException.of(ErrorCode.LEAVING, "this server is being stopped");
        }
        Configuration current =
                configuration
                        .current()
                        .orElseThrow(
                                () ->
                                        TamaracktrackException.of(
                                                ErrorCode.NOT_READY, "no configuration yet"))
                        .configuration();
        Configuration.ClientAccount account =
                authentication.authenticate(current, authorization(exchange));
        if (http.path().equals(CallerPaths.MODELS)) {
            exchange.dispatch();
            channel.listen(new NoOpListener());
            channel.sendWhole(
                    200,
                    Map.of("content-type", "application/json"),
                    ModelList.toJson(current, account));
            return;
        }
        readBody(exchange, channel, http, current, account);
    }

    private static List<String> authorization(HttpServerExchange exchange) {
        HeaderValues values = exchange.getRequestHeaders().get(Headers.AUTHORIZATION);
        return values == null ? List.of() : List.copyOf(values);
    }

    private static CallerHttpRequest readHead(HttpServerExchange exchange) {
        Map<String, String> headers = new HashMap<>();
        for (HeaderValues values : exchange.getRequestHeaders()) {
            headers.put(
                    values.getHeaderName().toString().toLowerCase(Locale.ROOT), values.getFirst());
        }
        String query = exchange.getQueryString();
        return new CallerHttpRequest(
                exchange.getRequestMethod().toString(),
                exchange.getRequestURI(),
                query.isEmpty() ? "" : "?" + query,
                headers,
                NO_BODY);
    }

    private void readBody(
            HttpServerExchange exchange,
            UndertowCallerChannel channel,
            CallerHttpRequest http,
            Configuration current,
            Configuration.ClientAccount account) {
        exchange.setMaxEntitySize(limits.maximumBodyBytes());
        exchange.getRequestReceiver().setMaxBufferSize(limits.maximumBodyBytes());
        AtomicBoolean handled = new AtomicBoolean();
        // Without a timeout, a caller that sends its body byte by byte would occupy a connection
        // and its buffer without limit.
        XnioExecutor.Key timer =
                exchange.getIoThread()
                        .executeAfter(
                                () -> {
                                    if (handled.compareAndSet(false, true)) {
                                        answerError(exchange, channel, bodyTimeout());
                                    }
                                },
                                limits.bodyTimeoutMillis(),
                                TimeUnit.MILLISECONDS);
        exchange.getRequestReceiver()
                .receiveFullBytes(
                        (sameExchange, body) -> {
                            timer.remove();
                            if (handled.compareAndSet(false, true)) {
                                start(exchange, channel, http.withBody(body), current, account);
                            }
                        },
                        (sameExchange, failure) -> {
                            timer.remove();
                            if (handled.compareAndSet(false, true)) {
                                answerError(exchange, channel, bodyTooLarge(failure));
                            }
                        });
    }

    private static TamaracktrackException bodyTimeout() {
        return TamaracktrackException.of(
                ErrorCode.REQUEST_TOO_SLOW, "the body did not arrive in time");
    }

    private static TamaracktrackException bodyTooLarge(IOException failure) {
        return TamaracktrackException.of(
                ErrorCode.BODY_TOO_LARGE, "the body is larger than this server takes", failure);
    }

    private void start(
            HttpServerExchange exchange,
            UndertowCallerChannel channel,
            CallerHttpRequest http,
            Configuration current,
            Configuration.ClientAccount account) {
        try {
            CallerRequest request = RequestReader.read(current, account, http);
            rates.admit(request, services.metrics());
            exchange.dispatch();
            RequestRunner.start(services, request, channel);
        } catch (TamaracktrackException failure) {
            answerError(exchange, channel, failure);
        }
    }

    private void answerError(
            HttpServerExchange exchange,
            UndertowCallerChannel channel,
            TamaracktrackException failure) {
        services.metrics().countError(failure.code());
        exchange.dispatch();
        channel.listen(new NoOpListener());
        channel.sendError(CallerError.of(failure));
    }

    /** Ignores notifications, for answers that are sent completely in one call. */
    private static final class NoOpListener implements CallerChannel.Listener {
        @Override
        public void onWritten(int bytes) {}

        @Override
        public void onDisconnected() {}

        @Override
        public void onCompleted() {}
    }
}
