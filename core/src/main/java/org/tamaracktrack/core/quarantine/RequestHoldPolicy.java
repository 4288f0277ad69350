package org.tamaracktrack.core.quarantine;

import java.util.Collection;
import java.util.OptionalLong;

/**
 * Holds a request after three ends. Targets at which it may only have waited count as well: the
 * head of an answer can be lost with the connection, and a request that waits at three targets that
 * end, without an answer in between, has used up its attempts.
 */
final class RequestHoldPolicy implements HoldPolicy {
    private static final int ENDS_BEFORE_HOLD = 3;

    private RequestHoldPolicy() {}

    static RequestHoldPolicy of() {
        return new RequestHoldPolicy();
    }

    @Override
    public boolean holds(Collection<ObservedEnd> ends) {
        return ends.size() >= ENDS_BEFORE_HOLD;
    }

    @Override
    public OptionalLong trialDueMillis(Collection<ObservedEnd> ends) {
        return OptionalLong.empty();
    }
}
