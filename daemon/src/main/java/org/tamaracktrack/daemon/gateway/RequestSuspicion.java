package org.tamaracktrack.daemon.gateway;

import io.undertow.server.HttpServerExchange;
import java.util.Optional;
import org.tamaracktrack.core.fleet.TargetEntry;
import org.tamaracktrack.core.quarantine.Quarantine;
import org.tamaracktrack.core.quarantine.RequestFingerprint;

/**
 * What is known of one request as the cause of targets' ends. Its fingerprint is taken only once a
 * target has ended under some request. On the traffic thread.
 */
final class RequestSuspicion {
    private final GatewayServices services;
    private final HttpServerExchange exchange;
    private final byte[] body;
    private Optional<RequestFingerprint> fingerprint = Optional.empty();

    private RequestSuspicion(GatewayServices services, HttpServerExchange exchange, byte[] body) {
        this.services = services;
        this.exchange = exchange;
        this.body = body;
    }

    static RequestSuspicion of(GatewayServices services, HttpServerExchange exchange, byte[] body) {
        return new RequestSuspicion(services, exchange, body);
    }

    private RequestFingerprint taken() {
        if (fingerprint.isEmpty()) {
            fingerprint =
                    Optional.of(
                            RequestFingerprint.of(
                                    exchange.getRequestMethod().toString(),
                                    exchange.getHostName(),
                                    CallerPath.of(exchange),
                                    body));
        }
        return fingerprint.get();
    }

    /** The fingerprint, if it was needed so far. */
    Optional<RequestFingerprint> fingerprint() {
        return fingerprint;
    }

    /** Whether the request may be sent to no target. */
    boolean held() {
        Quarantine quarantine = services.quarantine();
        return !quarantine.held().isEmpty() && quarantine.held().contains(taken());
    }

    /** The connection to a target broke while it had the request. */
    void broke(TargetEntry target, boolean ran) {
        services.endedTargets().broke(target, taken(), ran);
    }

    /** A target answered the request. */
    void answered() {
        Quarantine quarantine = services.quarantine();
        if (!quarantine.isEmpty() && quarantine.suspects().contains(taken())) {
            services.endedTargets().answered(taken());
        }
    }
}
