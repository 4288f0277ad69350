package org.tamaracktrack.daemon.gateway;

import io.micrometer.core.instrument.DistributionSummary;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.MultiGauge;
import io.micrometer.core.instrument.Tags;
import io.micrometer.core.instrument.Timer;
import java.time.Duration;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.DoubleSupplier;
import java.util.function.IntSupplier;
import java.util.stream.Collectors;
import org.tamaracktrack.core.dispatch.FailurePolicy;
import org.tamaracktrack.core.dispatch.HedgePolicy;
import org.tamaracktrack.core.error.ErrorCode;
import org.tamaracktrack.core.id.ClientAccountId;
import org.tamaracktrack.core.id.ServiceId;
import org.tamaracktrack.core.quarantine.PartFingerprint;
import org.tamaracktrack.core.quarantine.Suspect;
import org.tamaracktrack.core.stream.OriginFinding;

/** Counters and histograms of forwarded requests, by route. Owned by the traffic thread. */
final class GatewayMetrics {
    private static final Duration[] BUCKETS =
            Arrays.stream(new long[] {5, 20, 50, 100, 200, 400, 800, 1_600, 3_200, 10_000, 30_000})
                    .mapToObj(Duration::ofMillis)
                    .toArray(Duration[]::new);

    private static final double[] WORK_FACTOR_BUCKETS = {0.5, 0.75, 1.0, 1.5, 2.0, 3.0, 5.0};

    private static final int MAX_LABELLED_ACCOUNTS = 64;
    private static final String OTHER_ACCOUNTS = "other";

    private final MeterRegistry registry;
    private final Set<ClientAccountId> labelledAccounts = new HashSet<>();
    private final Map<String, Timer> timers = new HashMap<>();
    private final Map<ServiceId, DistributionSummary> workFactors = new HashMap<>();
    private final Map<ServiceId, AtomicInteger> remainingRetries = new HashMap<>();

    private final MultiGauge accountExcess;

    private GatewayMetrics(MeterRegistry registry) {
        this.registry = registry;
        this.accountExcess =
                MultiGauge.builder("tamaracktrack.gateway.account.excess")
                        .description("part of the outstanding tokens, 1 for an equal part")
                        .register(registry);
    }

    static GatewayMetrics of(MeterRegistry registry) {
        return new GatewayMetrics(registry);
    }

    /** Records an outcome and the time to the first piece of the response. */
    void recordRequestEnd(String route, String outcome, long firstMillis) {
        timers.computeIfAbsent(route + '|' + outcome, key -> timer(route, outcome))
                .record(Math.max(0, firstMillis), TimeUnit.MILLISECONDS);
    }

    private Timer timer(String route, String outcome) {
        return Timer.builder("tamaracktrack.gateway.first.piece")
                .tag("route", route)
                .tag("outcome", outcome)
                .serviceLevelObjectives(BUCKETS)
                .register(registry);
    }

    /** Publishes how many requests are held until a target has room. */
    void registerHeldRequests(IntSupplier count) {
        Gauge.builder("tamaracktrack.gateway.held", count::getAsInt)
                .description("requests that wait at this daemon for room at a target")
                .register(registry);
    }

    /** Records how long a request was held. */
    void recordHold(String route, long heldMillis) {
        timers.computeIfAbsent(
                        "held|" + route,
                        key ->
                                Timer.builder("tamaracktrack.gateway.hold")
                                        .tag("route", route)
                                        .serviceLevelObjectives(BUCKETS)
                                        .register(registry))
                .record(Math.max(0, heldMillis), TimeUnit.MILLISECONDS);
    }

    /** Counts a refusal by admission control. */
    void recordAdmissionRefusal(String route, String reason) {
        registry.counter(
                        "tamaracktrack.gateway.admission.refusals",
                        "route",
                        route,
                        "reason",
                        reason)
                .increment();
    }

    /** Counts a request that was refused before it was passed on. */
    void recordRefusal(ErrorCode code, Optional<ClientAccountId> account) {
        registry.counter(
                        "tamaracktrack.gateway.refusals",
                        "code",
                        code.name(),
                        "account",
                        account.map(this::label).orElse("-"))
                .increment();
    }

    // Each value of a label costs memory here and wherever the metrics are stored.
    private String label(ClientAccountId account) {
        if (labelledAccounts.size() < MAX_LABELLED_ACCOUNTS) {
            labelledAccounts.add(account);
        }
        return labelledAccounts.contains(account) ? account.value() : OTHER_ACCOUNTS;
    }

    /**
     * Publishes how much client accounts use of a service, compared with an equal part. Of the
     * accounts without a label of their own, the largest counts.
     */
    void publishAccountExcess(Map<ServiceId, Map<ClientAccountId, Double>> excess) {
        Map<Tags, Double> largest = new HashMap<>();
        excess.forEach(
                (service, accounts) ->
                        accounts.forEach(
                                (account, value) ->
                                        largest.merge(
                                                Tags.of(
                                                        "service",
                                                        service.value(),
                                                        "account",
                                                        label(account)),
                                                value,
                                                Math::max)));
        accountExcess.register(
                largest.entrySet().stream()
                        .map(entry -> MultiGauge.Row.of(entry.getKey(), entry.getValue()))
                        .collect(Collectors.toList()),
                true);
    }

    /** Publishes this daemon's authority over the quotas of client accounts. */
    void registerQuotaAuthority(DoubleSupplier authority) {
        Gauge.builder("tamaracktrack.quota.authority", authority::getAsDouble)
                .description("share of each quota that this daemon admits as the coordinator")
                .register(registry);
    }

    /** Counts a request that is refused because targets ended under it or a part of its prompt. */
    void recordQuarantined(Suspect suspect) {
        registry.counter(
                        "tamaracktrack.gateway.quarantined",
                        "because",
                        suspect instanceof PartFingerprint ? "part" : "request")
                .increment();
    }

    /** Counts a held suspect of a request that is sent to find out whether it is harmless. */
    void recordTrial() {
        registry.counter("tamaracktrack.gateway.quarantine.trials").increment();
    }

    /** Counts a connection of a caller that was closed unread. */
    void recordShedConnection() {
        registry.counter("tamaracktrack.gateway.connections.shed").increment();
    }

    /** Counts a rest that a target has asked for. */
    void recordRest(ServiceId service) {
        registry.counter("tamaracktrack.gateway.target.rests", "service", service.value())
                .increment();
    }

    /** Counts a request that was read and neither answered nor closed. */
    void recordUnanswered(AnswerGuard.Stage stage) {
        registry.counter("tamaracktrack.gateway.unanswered", "stage", stage.name()).increment();
    }

    /** Counts a request of which a part was sent to a target, and the rest was not. */
    void recordStoppedSend() {
        registry.counter("tamaracktrack.gateway.sends.stopped").increment();
    }

    /** Records by which factor work takes longer than usual at a target, as it reports. */
    void recordWorkFactor(ServiceId service, double factor) {
        workFactors
                .computeIfAbsent(
                        service,
                        name ->
                                DistributionSummary.builder("tamaracktrack.gateway.work.factor")
                                        .tag("service", name.value())
                                        .serviceLevelObjectives(WORK_FACTOR_BUCKETS)
                                        .register(registry))
                .record(factor);
    }

    /** Counts an answer of a target that was rejected, whose connection was reset. */
    void recordRejectedAnswer(String reason) {
        registry.counter("tamaracktrack.gateway.answers.rejected", "reason", reason).increment();
    }

    void recordAttemptEnd(String end) {
        registry.counter("tamaracktrack.gateway.attempts", "end", end).increment();
    }

    /** Counts a decision about a request whose target is silent. */
    void recordSilence(HedgePolicy.Decision decision) {
        registry.counter("tamaracktrack.gateway.silences", "hedge", decision.name()).increment();
    }

    /** Counts the end of an attempt that was made beside one whose target was silent. */
    void recordHedgeEnd(String outcome) {
        registry.counter("tamaracktrack.gateway.hedges", "outcome", outcome).increment();
    }

    /**
     * Counts a stream that goes on at another target within one response.
     *
     * @param sameVersion whether that target runs the software version that began the stream
     */
    void recordContinuation(ServiceId service, boolean sameVersion) {
        registry.counter(
                        "tamaracktrack.gateway.streams.continued",
                        "service",
                        service.value(),
                        "version",
                        sameVersion ? "same" : "other")
                .increment();
    }

    /** Counts a stream that a caller takes up, by how its software version is known. */
    void recordResumption(ServiceId service, OriginFinding.Source source) {
        registry.counter(
                        "tamaracktrack.gateway.streams.resumed",
                        "service",
                        service.value(),
                        "known",
                        source.name())
                .increment();
    }

    /**
     * Counts a retry decision and sets the number of retries that this daemon could still send to
     * the service.
     */
    void recordRetryDecision(ServiceId service, FailurePolicy.Payment payment, double remaining) {
        registry.counter(
                        "tamaracktrack.gateway.repeats",
                        "service",
                        service.value(),
                        "payment",
                        payment.name())
                .increment();
        remainingRetries.computeIfAbsent(service, this::remainingRetries).set((int) remaining);
    }

    /** Records the time from the decision on a retry to its first byte. */
    void recordRetrySent(ServiceId service, long delayMillis) {
        recordRetryDelay("tamaracktrack.gateway.retry.send.delay", service, delayMillis);
    }

    /** Records the time from the first byte of a retry to the first sign of its target. */
    void recordRetryAnswered(ServiceId service, long delayMillis) {
        recordRetryDelay("tamaracktrack.gateway.retry.answer.delay", service, delayMillis);
    }

    /**
     * Counts a send that ended without an answer. Its target may read it later.
     *
     * @param service the service of the target
     * @param retry whether it was a retry
     */
    void recordUnansweredSend(ServiceId service, boolean retry) {
        registry.counter(
                        "tamaracktrack.gateway.unanswered.sends",
                        "service",
                        service.value(),
                        "retry",
                        Boolean.toString(retry))
                .increment();
    }

    /** Records that a target has ended the connection of a send that it had not answered. */
    void recordEndedSend(ServiceId service) {
        registry.counter("tamaracktrack.gateway.unanswered.sends.ended", "service", service.value())
                .increment();
    }

    private void recordRetryDelay(String name, ServiceId service, long delayMillis) {
        timers.computeIfAbsent(
                        name + '|' + service,
                        key ->
                                Timer.builder(name)
                                        .tag("service", service.value())
                                        .serviceLevelObjectives(BUCKETS)
                                        .register(registry))
                .record(delayMillis, TimeUnit.MILLISECONDS);
    }

    private AtomicInteger remainingRetries(ServiceId service) {
        return registry.gauge(
                "tamaracktrack.gateway.repeats.left",
                Tags.of("service", service.value()),
                new AtomicInteger());
    }
}
