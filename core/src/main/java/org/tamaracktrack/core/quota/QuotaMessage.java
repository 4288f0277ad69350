package org.tamaracktrack.core.quota;

import java.util.Objects;

/** A message between two daemons about quotas. Messages may be lost or arrive late. */
public sealed interface QuotaMessage {

    /**
     * A daemon asks another whether it is alive, and votes for it as the coordinator.
     *
     * @param number identifies the message at its sender
     * @param vote the share of all quotas that the sender entrusts to the receiver for a short
     *     time, from 0 to 1; 0 when it does not follow the receiver
     * @param knownDaemons how many daemons the sender has seen on lists
     */
    record Ping(long number, double vote, int knownDaemons) implements QuotaMessage {

        /** Checks the arguments. */
        public Ping {
            if (!(vote >= 0 && vote <= 1)) {
                throw new IllegalArgumentException("vote is not between 0 and 1");
            }
        }
    }

    /**
     * The answer to a ping.
     *
     * @param number the number of the ping
     * @param knownDaemons how many daemons the sender has seen on lists
     */
    record Pong(long number, int knownDaemons) implements QuotaMessage {}

    /**
     * A daemon asks its coordinator to admit a request.
     *
     * @param number identifies the message at its sender; repeated when no answer has come
     * @param limit the quota by the sender's configuration
     * @param cost the units of the request
     */
    record Ask(long number, QuotaLimit limit, long cost) implements QuotaMessage {

        /** Checks the arguments. */
        public Ask {
            Objects.requireNonNull(limit, "limit is null");
            if (cost <= 0) {
                throw new IllegalArgumentException("cost is not positive");
            }
        }
    }

    /**
     * The answer to a question.
     *
     * @param number the number of the question
     * @param outcome the decision
     * @param retryAfterMillis when the quota will have room, in milliseconds; 0 when admitted
     */
    record Answer(long number, Admission.Outcome outcome, long retryAfterMillis)
            implements QuotaMessage {

        /** Checks the arguments. */
        public Answer {
            Objects.requireNonNull(outcome, "outcome is null");
        }
    }

    /**
     * A daemon returns the units of a request that certainly did not run.
     *
     * @param number the number of the question by which it was admitted
     */
    record GiveBack(long number) implements QuotaMessage {}
}
