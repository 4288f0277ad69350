package org.tamaracktrack.daemon.gateway;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import java.nio.charset.StandardCharsets;
import org.jboss.logging.Logger;
import org.tamaracktrack.core.account.Account;
import org.tamaracktrack.core.account.BearerToken;
import org.tamaracktrack.core.account.Quota;
import org.tamaracktrack.core.error.ErrorCode;
import org.tamaracktrack.core.quota.Admission;

/** Sends error responses for requests that are not forwarded. */
final class Refusals {
    private static final Logger LOG = Logger.getLogger("tamaracktrack.refusals");

    /** A daemon that is starting becomes ready in about this time. */
    private static final String RETRY_AFTER_SECONDS = "0.5";

    private static final double MILLIS_PER_SECOND = 1_000;
    private static final long MIN_RETRY_AFTER_MILLIS = 300;
    private static final long RETRY_AFTER_SPREAD_MILLIS = 500;

    private Refusals() {}

    static void send(HttpServerExchange exchange, ErrorCode code) {
        send(exchange, code, RETRY_AFTER_SECONDS);
    }

    /**
     * Refuses a request because the information of this daemon is stale. The random delay spreads
     * the retries of callers that are refused together.
     */
    static void sendOutdated(HttpServerExchange exchange, double draw) {
        long retryAfterMillis = MIN_RETRY_AFTER_MILLIS + (long) (RETRY_AFTER_SPREAD_MILLIS * draw);
        send(exchange, ErrorCode.OUTDATED, String.valueOf(retryAfterMillis / MILLIS_PER_SECOND));
    }

    /** Refuses a request without a key that the configuration in force knows. */
    static void sendUnauthenticated(HttpServerExchange exchange, String configurationState) {
        ErrorCode code = ErrorCode.UNAUTHENTICATED;
        LOG.info(
                "event=refused code="
                        + code
                        + " status="
                        + code.status()
                        + " reason="
                        + BearerToken.describeRejected(CallerIdentity.authorization(exchange))
                        + " host="
                        + exchange.getHostName()
                        + " path="
                        + exchange.getRequestURI()
                        + ' '
                        + configurationState);
        exchange.getResponseHeaders().put(Headers.WWW_AUTHENTICATE, "Bearer");
        respond(exchange, code);
    }

    /**
     * A request without room in the quota of its client account.
     *
     * @param metadata what its headers state
     * @param account the account
     * @param version the version of the configuration that the quota is from
     * @param admission the decision
     */
    record QuotaRefusal(
            RequestMetadata metadata, Account account, long version, Admission admission) {
        ErrorCode code() {
            return admission.outcome() == Admission.Outcome.OVER_LIMIT
                    ? ErrorCode.ACCOUNT_LIMIT
                    : ErrorCode.QUOTA_UNDECIDED;
        }
    }

    /** Refuses a request because its client account is over its quota, or may be. */
    static void sendQuotaRefusal(HttpServerExchange exchange, QuotaRefusal refusal, double draw) {
        ErrorCode code = refusal.code();
        LOG.info(
                "event=refused code="
                        + code
                        + " status="
                        + code.status()
                        + " request="
                        + refusal.metadata().attempt()
                        + " account="
                        + refusal.account().id()
                        + " tokens="
                        + refusal.metadata().totalTokens().orElse(-1)
                        + " quota="
                        + refusal.account().quota().map(Quota::ratePerSecond).orElse(0.0)
                        + " configuration="
                        + refusal.version()
                        + " coordinator="
                        + refusal.admission().coordinator()
                        + " decided_after_ms="
                        + refusal.admission().waitedMillis()
                        + " retry_after_ms="
                        + refusal.admission().retryAfterMillis());
        long retryAfterMillis =
                Math.max(MIN_RETRY_AFTER_MILLIS, refusal.admission().retryAfterMillis())
                        + (long) (RETRY_AFTER_SPREAD_MILLIS * draw);
        exchange.getResponseHeaders()
                .put(Headers.RETRY_AFTER, String.valueOf(retryAfterMillis / MILLIS_PER_SECOND));
        respond(exchange, code);
    }

    private static void send(
            HttpServerExchange exchange, ErrorCode code, String retryAfterSeconds) {
        LOG.info(
                "event=refused code="
                        + code
                        + " status="
                        + code.status()
                        + " host="
                        + exchange.getHostName()
                        + " path="
                        + exchange.getRequestURI());
        if (code.retryable()) {
            exchange.getResponseHeaders().put(Headers.RETRY_AFTER, retryAfterSeconds);
        }
        respond(exchange, code);
    }

    private static void respond(HttpServerExchange exchange, ErrorCode code) {
        exchange.setStatusCode(code.status());
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
        exchange.getResponseSender()
                .send(new String(FailureResponse.body(code), StandardCharsets.UTF_8));
    }
}
