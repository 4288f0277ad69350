package org.tamaracktrack.core.admission;

import java.util.Objects;
import java.util.OptionalInt;
import java.util.Set;
import org.tamaracktrack.core.id.AttemptId;

/** What admission hears. */
public sealed interface AdmissionMessage {
    /** Stands for a need that can't be met as things are. */
    long NEVER = Long.MAX_VALUE / 4;

    /**
     * A request arrived.
     *
     * @param work the request
     */
    record Arrived(Work work) implements AdmissionMessage {

        /** Checks the argument. */
        public Arrived {
            Objects.requireNonNull(work, "work is null");
        }
    }

    /**
     * The caller gave a request up; nothing happens unless it is waiting.
     *
     * @param attempt the request
     */
    record Cancelled(AttemptId attempt) implements AdmissionMessage {}

    /**
     * The first token of a running request was seen.
     *
     * @param attempt the request
     */
    record FirstToken(AttemptId attempt) implements AdmissionMessage {}

    /**
     * A running request ended, whatever its outcome.
     *
     * @param attempt the request
     * @param tokens what it cost; empty when that is not known
     */
    record Ended(AttemptId attempt, OptionalInt tokens) implements AdmissionMessage {}

    /**
     * What is in memory changed.
     *
     * @param ready every need that is met
     */
    record ReadyChanged(Set<Need> ready) implements AdmissionMessage {

        /** Copies the set. */
        public ReadyChanged {
            ready = Set.copyOf(ready);
        }
    }

    /**
     * A need will be met later: what can't wait that long is refused.
     *
     * @param need the need
     * @param readyInMillis when it will be met at the soonest, or {@link #NEVER}
     */
    record NeedDelayed(Need need, long readyInMillis) implements AdmissionMessage {}

    /**
     * Another configuration is in force.
     *
     * @param limits its limits
     */
    record LimitsChanged(AdmissionLimits limits) implements AdmissionMessage {

        /** Checks the argument. */
        public LimitsChanged {
            Objects.requireNonNull(limits, "limits is null");
        }
    }

    /** Time passed: what has waited too long is refused. */
    record Tick() implements AdmissionMessage {}
}
