package org.tamaracktrack.daemon.gateway;

import java.util.Optional;
import org.jboss.logging.Logger;
import org.tamaracktrack.core.dispatch.HedgePolicy;
import org.tamaracktrack.core.fleet.TargetEntry;

/**
 * Logs and counts what is decided for one request while its target is silent: one line each time
 * that the decision changes. Used on the traffic thread.
 */
final class SilenceLog {
    private static final Logger LOG = Logger.getLogger("tamaracktrack.requests");

    private final GatewayContext context;
    private final String attempt;
    private Optional<HedgePolicy.Decision> last = Optional.empty();
    private Optional<TargetAttempt> lastAttempt = Optional.empty();

    private SilenceLog(GatewayContext context, String attempt) {
        this.context = context;
        this.attempt = attempt;
    }

    /**
     * Returns a log without entries.
     *
     * @param attempt the attempt id that the caller gave the request
     */
    static SilenceLog of(GatewayContext context, String attempt) {
        return new SilenceLog(context, attempt);
    }

    /** Records a decision about a request at a silent target. */
    void record(
            TargetAttempt silent,
            HedgePolicy.Decision decision,
            Optional<TargetEntry> other,
            long remainingMillis) {
        boolean repeated =
                decision != HedgePolicy.Decision.SEND
                        && last.filter(decision::equals).isPresent()
                        && lastAttempt.filter(silent::equals).isPresent();
        last = Optional.of(decision);
        lastAttempt = Optional.of(silent);
        if (repeated) {
            return;
        }
        context.metrics().recordSilence(decision);
        LOG.info(
                "event=target-silent request="
                        + attempt
                        + describe(silent)
                        + " left_ms="
                        + remainingMillis
                        + " hedge="
                        + decision
                        + other.map(entry -> " hedge_target=" + entry.incarnation()).orElse(""));
    }

    /** Records that another target has answered, so that the silent one is left. */
    void recordLeft(TargetAttempt silent, TargetAttempt answered) {
        LOG.info(
                "event=target-left request="
                        + attempt
                        + describe(silent)
                        + " answered_by="
                        + answered.entry().incarnation());
        context.metrics().recordHedgeEnd("answered");
    }

    private String describe(TargetAttempt silent) {
        return " target="
                + silent.entry().incarnation()
                + " silent_ms="
                + silent.silentMillis(context.nowMillis())
                + " answer="
                + silent.progress();
    }

    /** Records that a hedged attempt has ended without being used. */
    void recordHedgeEnd(TargetAttempt hedged, String outcome) {
        LOG.info(
                "event=hedge-ended request="
                        + attempt
                        + " target="
                        + hedged.entry().incarnation()
                        + " outcome="
                        + outcome);
        context.metrics().recordHedgeEnd(outcome);
    }
}
