package org.tamaracktrack.core.target;

import org.tamaracktrack.core.error.TamaracktrackException;
import org.tamaracktrack.core.log.LogEntry;

/** An action that {@link OrderController} requests from its caller. */
public sealed interface OrderAction {

    /**
     * Appends an entry to the ownership stream.
     *
     * @param entry an intent, or the settlement of one
     */
    record Append(LogEntry entry) implements OrderAction {}

    /**
     * Sends an order to the engine if {@link #isTimely} still holds immediately before.
     *
     * @param order the order
     * @param sendBy the latest time to send it, on both clocks
     */
    record Send(EngineOrder order, HostTime sendBy) implements OrderAction {

        /**
         * Returns whether the order may still be sent. The process may be paused between the
         * decision and the sending and lose ownership of the target meanwhile. Both clocks are
         * compared because the wall clock may be set back meanwhile.
         *
         * @param now the time immediately before sending
         * @return true if the limit has passed on neither clock
         */
        public boolean isTimely(HostTime now) {
            return now.monotonicMillis() <= sendBy.monotonicMillis()
                    && now.wallMillis() <= sendBy.wallMillis();
        }
    }

    /**
     * Reports that a change took effect.
     *
     * @param change the change
     */
    record Applied(ResidencyChange change) implements OrderAction {}

    /**
     * Reports that an order ended without a known effect.
     *
     * @param change the change that the order was to make
     */
    record NotApplied(ResidencyChange change) implements OrderAction {}

    /** Reports that another process owns the target; no more orders or requests are accepted. */
    record Deposed() implements OrderAction {}

    /**
     * Reports that an invariant is violated: the engine uses more memory than its capacity.
     *
     * @param failure the violated invariant
     */
    record Breach(TamaracktrackException failure) implements OrderAction {}

    /**
     * Reports that the engine uses memory that is reserved by this process. Another process has
     * sent orders to the engine, so this process has lost or is about to lose ownership.
     *
     * @param failure the conflict between used and reserved memory
     */
    record Contended(TamaracktrackException failure) implements OrderAction {}
}
