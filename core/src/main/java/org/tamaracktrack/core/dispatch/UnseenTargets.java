package org.tamaracktrack.core.dispatch;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.tamaracktrack.core.fleet.TargetEntry;
import org.tamaracktrack.core.fleet.TargetIncarnation;
import org.tamaracktrack.core.id.ServiceId;

/**
 * The targets that were sent requests and have shown no activity since this daemon started. They
 * may have been stopped before, and read what a predecessor of this daemon sent them when they
 * continue. Confined to the traffic thread.
 */
final class UnseenTargets {
    /** Time in which a target that runs usually sends something. */
    private static final long FIRST_ANSWER_MILLIS = 500;

    private final Map<TargetIncarnation, Send> firstSends = new HashMap<>();
    private final Set<TargetIncarnation> late = new HashSet<>();
    private final Map<ServiceId, Long> lateAnswers = new HashMap<>();

    private record Send(ServiceId service, TargetActivity target, long atMillis) {
        boolean isSettled() {
            return target.lastActiveMillis() != TargetActivity.NEVER || target.hasEnded();
        }
    }

    /** Records that a request is sent to a target. */
    void recordSend(TargetEntry entry, TargetActivity target, long nowMillis) {
        update(nowMillis);
        if (target.lastActiveMillis() == TargetActivity.NEVER) {
            firstSends.putIfAbsent(
                    entry.incarnation(), new Send(entry.service(), target, nowMillis));
        }
    }

    /**
     * Returns whether a target of a service is late with its first sign of activity, or has been
     * until less than a window ago.
     */
    boolean existedInWindow(ServiceId service, long windowMillis, long nowMillis) {
        update(nowMillis);
        Long answeredMillis = lateAnswers.get(service);
        return late.stream().anyMatch(run -> firstSends.get(run).service().equals(service))
                || answeredMillis != null && nowMillis - answeredMillis <= windowMillis;
    }

    private void update(long nowMillis) {
        firstSends.entrySet().removeIf(send -> settle(send.getKey(), send.getValue(), nowMillis));
    }

    private boolean settle(TargetIncarnation run, Send send, long nowMillis) {
        if (!send.isSettled()) {
            if (nowMillis - send.atMillis() >= FIRST_ANSWER_MILLIS) {
                late.add(run);
            }
            return false;
        }
        if (late.remove(run)) {
            lateAnswers.put(send.service(), nowMillis);
        }
        return true;
    }
}
