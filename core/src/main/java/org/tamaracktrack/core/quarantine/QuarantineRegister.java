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
 * Counts the targets that ended under each request, and tells which requests are kept from targets.
 * Owned by the control thread. Times are by the time of day, as they outlive the process.
 *
 * <p>When a busy target ends, everything that ran there is suspect once. Only the request that ends
 * its targets is there time and again; the others are answered elsewhere, which clears them.
 */
public final class QuarantineRegister {
    /**
     * So many targets that ended hold a request. Whether they ran it or let it wait does not
     * matter: the head of an answer can be lost with the connection, and what waits at three
     * targets that end, without an answer in between, has used up its tries.
     */
    private static final int HOLDING_ENDS = 3;

    /** A request that is not held is forgotten this long after the last target ended under it. */
    private static final long SUSPECT_MILLIS = 10 * 60_000;

    /** A request that is held is tried again after this time. */
    private static final long HELD_MILLIS = 24 * 60 * 60_000;

    /** Requests that are remembered; the oldest suspects go first. */
    private static final int MOST_REQUESTS = 10_000;

    private final Map<RequestFingerprint, Map<TargetIncarnation, Seen>> ends =
            new LinkedHashMap<>();
    private Quarantine quarantine = Quarantine.empty();
    private boolean changed;

    private record Seen(boolean ran, long atMillis) {}

    private QuarantineRegister() {}

    /**
     * Returns a register that knows of no end.
     *
     * @return the register
     */
    public static QuarantineRegister empty() {
        return new QuarantineRegister();
    }

    /**
     * A target ended. Told twice, by two daemons or again from the store, it counts once.
     *
     * @param end the request and the target
     * @param atMillis when
     * @return true when this was not known
     */
    public boolean add(TargetEnd end, long atMillis) {
        Map<TargetIncarnation, Seen> targets =
                ends.computeIfAbsent(end.request(), request -> new LinkedHashMap<>());
        Seen known = targets.get(end.target());
        if (known != null && (known.ran() || !end.ran())) {
            return false;
        }
        targets.put(end.target(), new Seen(end.ran(), atMillis));
        changed = true;
        return true;
    }

    /**
     * An end no longer counts.
     *
     * @param request the request
     * @param target the target
     */
    public void remove(RequestFingerprint request, TargetIncarnation target) {
        Map<TargetIncarnation, Seen> targets = ends.get(request);
        if (targets == null || targets.remove(target) == null) {
            return;
        }
        if (targets.isEmpty()) {
            ends.remove(request);
        }
        changed = true;
    }

    /**
     * A target answered a request, so that it ends none.
     *
     * @param request the request
     * @return the ends that no longer count
     */
    public List<TargetEnd> clear(RequestFingerprint request) {
        Map<TargetIncarnation, Seen> targets = ends.remove(request);
        if (targets == null) {
            return List.of();
        }
        changed = true;
        return ends(request, targets).collect(Collectors.toList());
    }

    /**
     * Forgets what is too old, and the oldest suspects when there are too many.
     *
     * @param nowMillis the time of day
     * @return the ends that no longer count
     */
    public List<TargetEnd> expire(long nowMillis) {
        List<RequestFingerprint> old =
                Stream.concat(
                                ends.keySet().stream()
                                        .filter(
                                                request ->
                                                        lastMillis(request)
                                                                < oldest(request, nowMillis)),
                                ends.keySet().stream()
                                        .sorted(
                                                Comparator.comparing(this::held)
                                                        .thenComparing(this::lastMillis))
                                        .limit(Math.max(0, ends.size() - MOST_REQUESTS)))
                        .distinct()
                        .collect(Collectors.toList());
        return old.stream()
                .flatMap(request -> clear(request).stream())
                .collect(Collectors.toList());
    }

    private long oldest(RequestFingerprint request, long nowMillis) {
        return nowMillis - (held(request) ? HELD_MILLIS : SUSPECT_MILLIS);
    }

    private long lastMillis(RequestFingerprint request) {
        return ends.get(request).values().stream().mapToLong(Seen::atMillis).max().orElse(0);
    }

    private boolean held(RequestFingerprint request) {
        return ends.get(request).size() >= HOLDING_ENDS;
    }

    private static Stream<TargetEnd> ends(
            RequestFingerprint request, Map<TargetIncarnation, Seen> targets) {
        return targets.entrySet().stream()
                .map(target -> new TargetEnd(request, target.getKey(), target.getValue().ran()));
    }

    /**
     * Returns whether an end is known and still counts.
     *
     * @param end the request and the target
     * @return true when it does
     */
    public boolean counts(TargetEnd end) {
        return ends.getOrDefault(end.request(), Map.of()).containsKey(end.target());
    }

    /**
     * Returns how many targets ended under a request.
     *
     * @param request the request
     * @return their number
     */
    public int ends(RequestFingerprint request) {
        Objects.requireNonNull(request, "request is null");
        return ends.getOrDefault(request, Map.of()).size();
    }

    /**
     * Returns the requests that targets have ended under now.
     *
     * @return the quarantine
     */
    public Quarantine quarantine() {
        if (changed) {
            changed = false;
            quarantine =
                    new Quarantine(
                            ends.keySet(),
                            ends.keySet().stream().filter(this::held).collect(Collectors.toSet()));
        }
        return quarantine;
    }
}
