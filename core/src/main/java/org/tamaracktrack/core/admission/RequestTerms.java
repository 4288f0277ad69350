package org.tamaracktrack.core.admission;

import java.util.Objects;
import java.util.Optional;
import org.tamaracktrack.core.id.ClientAccountId;
import org.tamaracktrack.core.id.ServiceId;
import org.tamaracktrack.core.route.Route;

/**
 * What a hold policy has to know of a request. Times are of the monotonic clock.
 *
 * @param service the service
 * @param need the model that it needs, as a key; empty for a plain service
 * @param account the client account
 * @param priority the priority; 0 is the highest
 * @param tokens the tokens of its prompt
 * @param bytes the size of its body
 * @param objectiveMillis the objective for the first piece, from the arrival
 * @param arrivedAtMillis when it arrived
 * @param leavesAtMillis when its caller stops waiting for the first piece
 * @param returned whether its caller was refused before
 */
public record RequestTerms(
        ServiceId service,
        String need,
        Optional<ClientAccountId> account,
        int priority,
        int tokens,
        int bytes,
        long objectiveMillis,
        long arrivedAtMillis,
        long leavesAtMillis,
        boolean returned) {

    /** Checks the arguments. */
    public RequestTerms {
        Objects.requireNonNull(service, "service is null");
        Objects.requireNonNull(need, "need is null");
        Objects.requireNonNull(account, "account is null");
        if (tokens < 0 || bytes < 0) {
            throw new IllegalArgumentException("negative size: " + tokens + ", " + bytes);
        }
    }

    /**
     * Returns whether the objective leaves seconds to spare.
     *
     * @return true for work that yields to other work of its service
     */
    public boolean isPatient() {
        return Route.isPatient(objectiveMillis);
    }

    // Patient work yields to urgent work of any priority, since it still can be in time later.
    static boolean isMoreUrgent(int priority, boolean patient, RequestTerms than) {
        return patient == than.isPatient() ? priority < than.priority() : !patient;
    }

    /**
     * Returns until when the first piece is in time.
     *
     * @return the monotonic time in milliseconds
     */
    public long objectiveAtMillis() {
        return arrivedAtMillis + objectiveMillis;
    }
}
