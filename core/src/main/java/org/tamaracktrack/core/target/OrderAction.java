package org.tamaracktrack.core.target;

import org.tamaracktrack.core.error.TamaracktrackException;
import org.tamaracktrack.core.log.LogEntry;

/** What order control decided. */
public sealed interface OrderAction {

    /**
     * Append the entry to the ownership stream.
     *
     * @param entry an intent, or the settlement of one
     */
    record Append(LogEntry entry) implements OrderAction {}

    /**
     * Send the order to the engine, after a last look at both clocks.
     *
     * @param order the order
     * @param sendBy when it must have been sent
     */
    record Send(EngineOrder order, Moment sendBy) implements OrderAction {

        /**
         * Returns whether the order may still be sent. A process may be paused between a decision
         * and its sending; the order would then be sent by one that no longer owns the target. Both
         * clocks are read: the wall clock may have been set back meanwhile.
         *
         * @param now the moment right before sending
         * @return true when neither clock has passed the limit
         */
        public boolean isTimely(Moment now) {
            return now.monotonicMillis() <= sendBy.monotonicMillis()
                    && now.wallMillis() <= sendBy.wallMillis();
        }
    }

    /**
     * A change took effect.
     *
     * @param change the change
     */
    record Moved(Change change) implements OrderAction {}

    /**
     * An order ended without effect, as far as is known.
     *
     * @param change the change that it was to bring
     */
    record NotMoved(Change change) implements OrderAction {}

    /** Another process owns the target: send no more orders and take no more work. */
    record Deposed() implements OrderAction {}

    /**
     * An invariant does not hold: the engine uses more memory than there is.
     *
     * @param failure what does not hold
     */
    record Breach(TamaracktrackException failure) implements OrderAction {}

    /**
     * The engine uses memory that is reserved here: another process has sent it orders, so this one
     * is no longer the owner, or is about to read that it is not.
     *
     * @param failure what does not fit
     */
    record Contended(TamaracktrackException failure) implements OrderAction {}
}
