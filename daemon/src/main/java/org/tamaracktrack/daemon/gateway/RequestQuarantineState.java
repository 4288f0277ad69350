package org.tamaracktrack.daemon.gateway;

import io.undertow.server.HttpServerExchange;
import java.util.Optional;
import org.tamaracktrack.core.fleet.TargetEntry;
import org.tamaracktrack.core.quarantine.Quarantine;
import org.tamaracktrack.core.quarantine.RequestFingerprint;

/**
 * Checks one request against the quarantine, and reports broken connections and answers of the
 * request. Its fingerprint is computed only once a target has ended under some request. Used on the
 * traffic thread.
 */
final class RequestQuarantineState {
    private final GatewayContext context;
    private final HttpServerExchange exchange;
    private final byte[] body;
    private Optional<RequestFingerprint> fingerprint = Optional.empty();

    private RequestQuarantineState(
            GatewayContext context, HttpServerExchange exchange, byte[] body) {
        this.context = context;
        this.exchange = exchange;
        this.body = body;
    }

    static RequestQuarantineState of(
            GatewayContext context, HttpServerExchange exchange, byte[] body) {
        return new RequestQuarantineState(context, exchange, body);
    }

    private RequestFingerprint computeFingerprint() {
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

    /** Returns the fingerprint if it has been computed. */
    Optional<RequestFingerprint> fingerprint() {
        return fingerprint;
    }

    /** Returns whether the request must not be sent to any target. */
    boolean isQuarantined() {
        Quarantine quarantine = context.quarantine();
        return !quarantine.held().isEmpty() && quarantine.held().contains(computeFingerprint());
    }

    /** Records that the connection to a target broke while the target had the request. */
    void recordBrokenConnection(TargetEntry target, boolean ran) {
        context.targetEndDetector().recordBrokenConnection(target, computeFingerprint(), ran);
    }

    /** Records that a target answered the request. */
    void recordAnswer() {
        Quarantine quarantine = context.quarantine();
        if (!quarantine.isEmpty() && quarantine.suspects().contains(computeFingerprint())) {
            context.targetEndDetector().recordCompleteAnswer(computeFingerprint());
        }
    }
}
