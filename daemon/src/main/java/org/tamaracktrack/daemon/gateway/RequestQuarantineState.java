package org.tamaracktrack.daemon.gateway;

import io.undertow.server.HttpServerExchange;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.tamaracktrack.core.dispatch.PromptPart;
import org.tamaracktrack.core.fleet.TargetEntry;
import org.tamaracktrack.core.id.ServiceId;
import org.tamaracktrack.core.quarantine.AnswerProgress;
import org.tamaracktrack.core.quarantine.PartFingerprint;
import org.tamaracktrack.core.quarantine.Quarantine;
import org.tamaracktrack.core.quarantine.RequestFingerprint;
import org.tamaracktrack.core.quarantine.Suspect;
import org.tamaracktrack.core.quarantine.TargetEnd;

/**
 * Checks one request and the shared parts of its prompt against the quarantine, and reports its
 * broken connections and answers. Fingerprints are computed only when they are needed. Used on the
 * traffic thread.
 */
final class RequestQuarantineState {
    /** A permit takes one call of the store; beyond this the request is refused. */
    private static final long MAX_TRIAL_WAIT_MILLIS = 500;

    private final GatewayContext context;
    private final HttpServerExchange exchange;
    private final byte[] body;
    private final List<PromptPart> sharedParts;
    private final Set<Suspect> trials = new HashSet<>();
    private Optional<TrialAuthority.Permit> permit = Optional.empty();
    private boolean ended;
    private Optional<RequestFingerprint> fingerprint = Optional.empty();
    private Optional<ServiceParts> parts = Optional.empty();

    /** The service may change when a stream continues, and the fingerprints with it. */
    private record ServiceParts(ServiceId service, List<PartFingerprint> fingerprints) {}

    private RequestQuarantineState(
            GatewayContext context,
            HttpServerExchange exchange,
            byte[] body,
            List<PromptPart> sharedParts) {
        this.context = context;
        this.exchange = exchange;
        this.body = body;
        this.sharedParts = sharedParts;
    }

    static RequestQuarantineState of(
            GatewayContext context,
            HttpServerExchange exchange,
            byte[] body,
            List<PromptPart> sharedParts) {
        return new RequestQuarantineState(context, exchange, body, sharedParts);
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

    private List<PartFingerprint> computeParts(ServiceId service) {
        if (parts.filter(known -> known.service().equals(service)).isEmpty()) {
            parts =
                    Optional.of(
                            new ServiceParts(service, PartFingerprint.ofAll(service, sharedParts)));
        }
        return parts.get().fingerprints();
    }

    private Stream<Suspect> suspects(ServiceId service) {
        return Stream.concat(Stream.of(computeFingerprint()), computeParts(service).stream());
    }

    /** Returns the fingerprint if it has been computed. */
    Optional<RequestFingerprint> fingerprint() {
        return fingerprint;
    }

    private Set<Suspect> heldSuspects(Quarantine quarantine, ServiceId service) {
        return quarantine.held().isEmpty()
                ? Set.of()
                : suspects(service).filter(quarantine::isHeld).collect(Collectors.toSet());
    }

    /** Returns the suspect because of which the request must not be sent to any target, if any. */
    Optional<Suspect> holdingSuspect(ServiceId service) {
        return heldSuspects(context.quarantine(), service).stream()
                .filter(suspect -> !trials.contains(suspect))
                .findFirst();
    }

    /** Returns whether the request may be sent as a trial, if a permit is granted. */
    boolean mayTry(ServiceId service) {
        Quarantine quarantine = context.quarantine();
        return quarantine.mayTry(heldSuspects(quarantine, service), GatewayContext.dayMillis());
    }

    /**
     * Asks for the permit to send the request as a trial.
     *
     * @param service the service that the request is sent to
     * @param listener called once, when the permit is granted or denied or takes too long
     */
    void requestTrial(ServiceId service, Runnable listener) {
        Set<Suspect> heldSuspects = heldSuspects(context.quarantine(), service);
        PendingTrial pending = new PendingTrial(heldSuspects, listener);
        context.after(MAX_TRIAL_WAIT_MILLIS, pending::decide);
        context.trialAuthority()
                .request(
                        heldSuspects, granted -> context.execute(() -> pending.onDecided(granted)));
    }

    private final class PendingTrial {
        private final Set<Suspect> heldSuspects;
        private final Runnable listener;
        private boolean decided;

        private PendingTrial(Set<Suspect> heldSuspects, Runnable listener) {
            this.heldSuspects = heldSuspects;
            this.listener = listener;
        }

        private void onDecided(Optional<TrialAuthority.Permit> granted) {
            if (decided || ended) {
                granted.ifPresent(TrialAuthority.Permit::giveBack);
                return;
            }
            permit = granted;
            granted.ifPresent(given -> trials.addAll(heldSuspects));
            decide();
        }

        private void decide() {
            if (!decided) {
                decided = true;
                listener.run();
            }
        }
    }

    /** Returns whether the request is sent as a trial of a held suspect. */
    boolean isTrial() {
        return !trials.isEmpty();
    }

    /** Records that the request is sent, after which its permit is used up. */
    void recordSent(String attempt) {
        if (permit.isPresent()) {
            permit = Optional.empty();
            trials.forEach(suspect -> logTrial(attempt, suspect));
        }
    }

    /** Ends the trial if the request was sent: one permit is for one target. */
    void recordAttemptEnd() {
        if (permit.isEmpty()) {
            trials.clear();
        }
    }

    /** Gives back a permit with which nothing was sent. */
    void end() {
        ended = true;
        permit.ifPresent(TrialAuthority.Permit::giveBack);
        permit = Optional.empty();
    }

    /** Returns whether no target has recently answered a prompt with one of the shared parts. */
    boolean hasUnprovenPart(ServiceId service) {
        return computeParts(service).stream().anyMatch(part -> !context.isProven(part));
    }

    /** As above, for parts under which a target has ended before. */
    boolean hasSuspectedPart(ServiceId service) {
        Quarantine quarantine = context.quarantine();
        return !quarantine.isEmpty()
                && computeParts(service).stream()
                        .filter(quarantine.suspects()::contains)
                        .anyMatch(part -> !context.isProven(part));
    }

    /**
     * Records that the connection to a target broke while the target had the request.
     *
     * @param target the target
     * @param ran whether the target is known to have run the request
     * @param progress how far its answer had come
     */
    void recordBrokenConnection(TargetEntry target, boolean ran, AnswerProgress progress) {
        boolean beginning = ran && progress != AnswerProgress.WRITING;
        Stream<TargetEnd> partEnds =
                progress == AnswerProgress.ESTABLISHED
                        ? Stream.empty()
                        : computeParts(target.service()).stream()
                                .map(part -> end(part, target, beginning));
        context.targetEndDetector()
                .recordBrokenConnection(
                        target,
                        Stream.concat(Stream.of(end(computeFingerprint(), target, ran)), partEnds)
                                .collect(Collectors.toList()));
    }

    private static TargetEnd end(Suspect suspect, TargetEntry target, boolean ran) {
        return new TargetEnd(suspect, target.incarnation(), ran);
    }

    /** Records that a target answered the request. */
    void recordAnswer() {
        Quarantine quarantine = context.quarantine();
        if (!quarantine.isEmpty()) {
            clearIfSuspect(quarantine, computeFingerprint());
        }
    }

    /** Records that a target went on after it had begun to answer the request. */
    void recordEstablished(ServiceId service) {
        computeParts(service).forEach(context::recordProven);
        Quarantine quarantine = context.quarantine();
        if (!quarantine.isEmpty()) {
            computeParts(service).forEach(part -> clearIfSuspect(quarantine, part));
        }
    }

    private void clearIfSuspect(Quarantine quarantine, Suspect suspect) {
        if (quarantine.suspects().contains(suspect)) {
            context.targetEndDetector().recordAnswer(suspect);
        }
    }

    /** Logs which suspect the request is refused for, and on what evidence. */
    void logRefusal(String attempt, Suspect suspect) {
        RequestLog.logQuarantined(
                attempt,
                suspect,
                partId(suspect),
                Optional.ofNullable(context.quarantine().held().get(suspect)),
                GatewayContext.dayMillis());
    }

    private void logTrial(String attempt, Suspect suspect) {
        context.metrics().recordTrial();
        RequestLog.logTrial(
                attempt,
                suspect,
                partId(suspect),
                Optional.ofNullable(context.quarantine().held().get(suspect)),
                GatewayContext.dayMillis());
    }

    private Optional<String> partId(Suspect suspect) {
        return sharedParts.stream()
                .filter(part -> matches(suspect, part))
                .map(PromptPart::contentId)
                .findFirst();
    }

    private boolean matches(Suspect suspect, PromptPart part) {
        return parts.map(ServiceParts::service)
                .filter(service -> PartFingerprint.of(service, part).equals(suspect))
                .isPresent();
    }
}
