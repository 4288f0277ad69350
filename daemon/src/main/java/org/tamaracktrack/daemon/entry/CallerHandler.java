package org.tamaracktrack.daemon.entry;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderValues;
import java.io.IOException;
import java.util.HashMap;
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

/** Takes callers' HTTP requests: reads and checks them, and starts their runs. */
final class CallerHandler implements HttpHandler {
    private static final byte[] NOTHING = {};

    private final ConfigurationSource configuration;
    private final RequestServices services;
    private final AccountRates rates;
    private final CallerLimits limits;
    private final AtomicInteger connections = new AtomicInteger();
    private volatile boolean draining;
    private volatile boolean refusing;

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
     * The limits of what callers may send.
     *
     * @param bodyBytes the largest body
     * @param connections how many connections are served at once
     * @param bodyMillis how long a body may take to arrive
     */
    record CallerLimits(int bodyBytes, int connections, long bodyMillis) {}

    static CallerHandler of(
            ConfigurationSource configuration,
            RequestServices services,
            AccountRates rates,
            CallerLimits limits) {
        return new CallerHandler(configuration, services, rates, limits);
    }

    /** From now on connections are closed after their answer. */
    void drain() {
        draining = true;
    }

    /** From now on new requests are refused. */
    void refuse() {
        refusing = true;
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) {
        CallerConnection connection = CallerConnection.of(exchange, connections);
        boolean crowded = connections.get() > limits.connections();
        UndertowCallerChannel channel =
                UndertowCallerChannel.of(
                        exchange, connection, () -> draining || !exchange.isRequestComplete());
        try {
            if (crowded) {
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
        CallerHttp http = headOf(exchange);
        CallerPaths.check(http.method(), http.path());
        if (refusing) {
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
                Authentication.account(current, http.header("authorization"));
        if (http.path().equals(CallerPaths.MODELS)) {
            exchange.dispatch();
            channel.listen(new Unheard());
            channel.whole(
                    200,
                    Map.of("content-type", "application/json"),
                    ModelList.json(current, account));
            return;
        }
        readBody(exchange, channel, http, current, account);
    }

    private static CallerHttp headOf(HttpServerExchange exchange) {
        Map<String, String> headers = new HashMap<>();
        for (HeaderValues values : exchange.getRequestHeaders()) {
            headers.put(
                    values.getHeaderName().toString().toLowerCase(Locale.ROOT), values.getFirst());
        }
        String query = exchange.getQueryString();
        return new CallerHttp(
                exchange.getRequestMethod().toString(),
                exchange.getRequestURI(),
                query.isEmpty() ? "" : "?" + query,
                headers,
                NOTHING);
    }

    private void readBody(
            HttpServerExchange exchange,
            UndertowCallerChannel channel,
            CallerHttp http,
            Configuration current,
            Configuration.ClientAccount account) {
        exchange.setMaxEntitySize(limits.bodyBytes());
        exchange.getRequestReceiver().setMaxBufferSize(limits.bodyBytes());
        AtomicBoolean over = new AtomicBoolean();
        // A caller that sends its body a byte at a time would hold its connection and buffer for
        // as long as it likes.
        XnioExecutor.Key timer =
                exchange.getIoThread()
                        .executeAfter(
                                () -> {
                                    if (over.compareAndSet(false, true)) {
                                        answerError(exchange, channel, tooSlow());
                                    }
                                },
                                limits.bodyMillis(),
                                TimeUnit.MILLISECONDS);
        exchange.getRequestReceiver()
                .receiveFullBytes(
                        (same, body) -> {
                            timer.remove();
                            if (over.compareAndSet(false, true)) {
                                start(exchange, channel, http.withBody(body), current, account);
                            }
                        },
                        (same, failure) -> {
                            timer.remove();
                            if (over.compareAndSet(false, true)) {
                                answerError(exchange, channel, bodyFailure(failure));
                            }
                        });
    }

    private static TamaracktrackException tooSlow() {
        return TamaracktrackException.of(
                ErrorCode.REQUEST_TOO_SLOW, "the body did not arrive in time");
    }

    private static TamaracktrackException bodyFailure(IOException failure) {
        return TamaracktrackException.of(
                ErrorCode.BODY_TOO_LARGE, "the body is larger than this server takes", failure);
    }

    private void start(
            HttpServerExchange exchange,
            UndertowCallerChannel channel,
            CallerHttp http,
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
        services.metrics().error(failure.code());
        exchange.dispatch();
        channel.listen(new Unheard());
        channel.error(CallerError.of(failure));
    }

    /** Nobody waits to hear of an answer that is complete at once. */
    private static final class Unheard implements CallerChannel.Listener {
        @Override
        public void onWritten(int bytes) {}

        @Override
        public void onGone() {}

        @Override
        public void onDone() {}
    }
}
