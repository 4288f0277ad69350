package org.tamaracktrack.core.quarantine;

import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.tamaracktrack.core.fleet.TargetIncarnation;

/**
 * Counts the targets that ended during each request and determines which requests are quarantined.
 * Confined to the control thread. Times are in time of day, since they remain valid after a restart
 * of the process.
 *
 * <p>When a target ends, every request in progress there becomes a suspect. Only a request that
 * causes its targets to end is in progress repeatedly; the others are answered by another target,
 * which clears them.
 */
public final class QuarantineRegister {
    /**
     * Number of ended targets after which a request is held. Targets at which the request may only
     * have waited count as well: the head of an answer can be lost with the connection, and a
     * request that waits at three targets that end, without an answer in between, has used up its
     * attempts.
     */
    private static final int ENDS_BEFORE_HOLD = 3;

    /** Time after the last end of a target for which a request that is not held stays a suspect. */
    private static final long SUSPECT_RETENTION_MILLIS = 10 * 60_000;

    /**
     * Time after the last end of a target for which a request stays held, before it is tried again.
     */
    private static final long HOLD_MILLIS = 24 * 60 * 60_000;

    /** Upper bound of recorded requests, beyond which the oldest suspects are removed first. */
    private static final int MAX_REQUESTS = 10_000;

    private final Map<RequestFingerprint, Map<TargetIncarnation, ObservedEnd>> endsByRequest =
            new LinkedHashMap<>();
    private Quarantine quarantine = Quarantine.empty();
    private boolean changed;

    private record ObservedEnd(boolean ran, long atMillis) {}

    private QuarantineRegister() {}

    /**
     * Returns a register without ends.
     *
     * @return the register
     */
    public static QuarantineRegister empty() {
        return new QuarantineRegister();
    }

    /**
     * Records that a target ended during a request. An end that is reported again, by another
     * daemon or from the store, counts once.
     *
     * @param end the request and the target
     * @param atMillis when the target ended, in milliseconds of the time of day
     * @return true when the end, or that the target ran the request, was not recorded before
     */
    public boolean add(TargetEnd end, long atMillis) {
        Map<TargetIncarnation, ObservedEnd> targets =
                endsByRequest.computeIfAbsent(end.request(), request -> new LinkedHashMap<>());
        ObservedEnd known = targets.get(end.target());
        if (known != null && (known.ran() || !end.ran())) {
            return false;
        }
        targets.put(end.target(), new ObservedEnd(end.ran(), atMillis));
        changed = true;
        return true;
    }

    /**
     * Removes an end, which no longer counts.
     *
     * @param request the request
     * @param target the target
     */
    public void remove(RequestFingerprint request, TargetIncarnation target) {
        Map<TargetIncarnation, ObservedEnd> targets = endsByRequest.get(request);
        if (targets == null || targets.remove(target) == null) {
            return;
        }
        if (targets.isEmpty()) {
            endsByRequest.remove(request);
        }
        changed = true;
    }

    /**
     * Removes all ends of a request that a target has answered, which shows that it does not cause
     * targets to end.
     *
     * @param request the request
     * @return the removed ends
     */
    public List<TargetEnd> removeAll(RequestFingerprint request) {
        Map<TargetIncarnation, ObservedEnd> targets = endsByRequest.remove(request);
        if (targets == null) {
            return List.of();
        }
        changed = true;
        return toTargetEnds(request, targets).collect(Collectors.toList());
    }

    /**
     * Removes expired requests, and the oldest suspects when there are too many.
     *
     * @param nowMillis the time of day in milliseconds
     * @return the removed ends
     */
    public List<TargetEnd> expire(long nowMillis) {
        List<RequestFingerprint> expired =
                Stream.concat(
                                endsByRequest.keySet().stream()
                                        .filter(
                                                request ->
                                                        lastEndMillis(request)
                                                                < expiryThresholdMillis(
                                                                        request, nowMillis)),
                                endsByRequest.keySet().stream()
                                        .sorted(
                                                Comparator.comparing(this::isHeld)
                                                        .thenComparing(this::lastEndMillis))
                                        .limit(Math.max(0, endsByRequest.size() - MAX_REQUESTS)))
                        .distinct()
                        .collect(Collectors.toList());
        return expired.stream()
                .flatMap(request -> removeAll(request).stream())
                .collect(Collectors.toList());
    }

    private long expiryThresholdMillis(RequestFingerprint request, long nowMillis) {
        return nowMillis - (isHeld(request) ? HOLD_MILLIS : SUSPECT_RETENTION_MILLIS);
    }

    private long lastEndMillis(RequestFingerprint request) {
        return endsByRequest.get(request).values().stream()
                .mapToLong(ObservedEnd::atMillis)
                .max()
                .orElse(0);
    }

    private boolean isHeld(RequestFingerprint request) {
        return endsByRequest.get(request).size() >= ENDS_BEFORE_HOLD;
    }

    private static Stream<TargetEnd> toTargetEnds(
            RequestFingerprint request, Map<TargetIncarnation, ObservedEnd> targets) {
        return targets.entrySet().stream()
                .map(target -> new TargetEnd(request, target.getKey(), target.getValue().ran()));
    }

    /**
     * Returns whether an end is recorded.
     *
     * @param end the request and the target
     * @return true when it is recorded
     */
    public boolean contains(TargetEnd end) {
        return endsByRequest.getOrDefault(end.request(), Map.of()).containsKey(end.target());
    }

    /**
     * Returns the number of targets that ended during a request.
     *
     * @param request the request
     * @return the number of targets
     */
    public int endCount(RequestFingerprint request) {
        Objects.requireNonNull(request, "request is null");
        return endsByRequest.getOrDefault(request, Map.of()).size();
    }

    /**
     * Returns the current suspects and held requests.
     *
     * @return the quarantine
     */
    public Quarantine quarantine() {
        if (changed) {
            changed = false;
            quarantine =
                    new Quarantine(
                            endsByRequest.keySet(),
                            endsByRequest.keySet().stream()
                                    .filter(this::isHeld)
                                    .collect(Collectors.toSet()));
        }
        return quarantine;
    }
}
