package org.tamaracktrack.core.admission;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;
import org.tamaracktrack.core.id.ServiceId;

/**
 * One pass over held requests in the order of their release. Requests that are due are decided in
 * any case; of the others, one of each kind is tried until it finds no room.
 */
public final class ReleasePass {
    /** Bounds the target selections of a pass, each of which compares all targets of a service. */
    private static final int MAX_WITHOUT_ROOM = 8;

    /** Bounds the requests that a late pass decides; the next pass continues. */
    private static final int MAX_DECISIONS = 64;

    private record Kind(
            ServiceId service, String need, int priority, boolean patient, boolean late) {
        static Kind of(HeldRequests.Held<?> held) {
            RequestTerms terms = held.terms();
            return new Kind(
                    terms.service(),
                    terms.need(),
                    terms.priority(),
                    terms.isPatient(),
                    held.late());
        }
    }

    private Set<Kind> triedBefore = new HashSet<>();

    private ReleasePass() {}

    /**
     * Returns passes of which none has run.
     *
     * @return the passes
     */
    public static ReleasePass create() {
        return new ReleasePass();
    }

    /**
     * Runs a pass.
     *
     * @param requests the held requests
     * @param nowMillis the monotonic time in milliseconds
     * @param decide decides on a request and returns false when it still is held
     * @param <T> identifies a request
     * @return whether requests are left over for a further pass
     */
    public <T> boolean run(HeldRequests<T> requests, long nowMillis, Predicate<T> decide) {
        List<HeldRequests.Held<T>> order = requests.inOrder(nowMillis);
        Set<Kind> withoutRoom = new HashSet<>();
        int decisions = 0;
        boolean leftOver = false;
        for (HeldRequests.Held<T> held : order) {
            Kind kind = Kind.of(held);
            boolean due = held.untilMillis() <= nowMillis;
            boolean tried = withoutRoom.contains(kind) || triedBefore.contains(kind);
            if (!due && tried) {
                continue;
            }
            if (decisions >= MAX_DECISIONS || !due && withoutRoom.size() >= MAX_WITHOUT_ROOM) {
                leftOver = true;
                continue;
            }
            if (requests.contains(held.id())) {
                decisions++;
                if (!decide.test(held.id())) {
                    withoutRoom.add(kind);
                }
            }
        }
        // A pass that has reached its bound continues with the kinds that it has not tried.
        triedBefore = leftOver ? union(triedBefore, withoutRoom) : new HashSet<>();
        return leftOver;
    }

    private static Set<Kind> union(Set<Kind> left, Set<Kind> right) {
        Set<Kind> all = new HashSet<>(left);
        all.addAll(right);
        return all;
    }
}
