package org.tamaracktrack.core.admission;

import java.util.Objects;
import java.util.OptionalInt;
import java.util.Set;
import org.tamaracktrack.core.id.AttemptId;

/** An event that an admission policy handles. */
public sealed interface AdmissionMessage {
    /** The delay of a need that cannot be met at present. */
    long NEVER = Long.MAX_VALUE / 4;

    /**
     * A request arrived.
     *
     * @param request the request
     */
    record Arrived(AdmissionRequest request) implements AdmissionMessage {

        /** Checks the argument. */
        public Arrived {
            Objects.requireNonNull(request, "work is null");
        }
    }

    /**
     * The caller cancelled a request; ignored unless the request is waiting.
     *
     * @param attempt the attempt of the request
     */
    record Cancelled(AttemptId attempt) implements AdmissionMessage {}

    /**
     * A running request produced its first token.
     *
     * @param attempt the attempt of the request
     */
    record FirstToken(AttemptId attempt) implements AdmissionMessage {}

    /**
     * A running request ended, whatever its outcome.
     *
     * @param attempt the attempt of the request
     * @param tokens the actual number of tokens; empty when it is not known
     */
    record Ended(AttemptId attempt, OptionalInt tokens) implements AdmissionMessage {}

    /**
     * The set of models and adapters in accelerator memory changed.
     *
     * @param ready the needs that are met now
     */
    record ReadyChanged(Set<Need> ready) implements AdmissionMessage {

        /** Copies the set. */
        public ReadyChanged {
            ready = Set.copyOf(ready);
        }
    }

    /**
     * A need will be met only after a delay. Waiting requests that cannot wait that long are
     * refused.
     *
     * @param need the need
     * @param readyInMillis the earliest time at which it can be met, in milliseconds from now, or
     *     {@link #NEVER}
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

    /** Time has passed: waiting requests that can no longer meet their time limit are refused. */
    record Tick() implements AdmissionMessage {}
}
