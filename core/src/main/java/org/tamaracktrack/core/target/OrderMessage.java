package org.tamaracktrack.core.target;

import java.util.Objects;
import org.tamaracktrack.core.id.OrderId;
import org.tamaracktrack.core.log.LogRecord;

/** An input of {@link OrderController}. */
public sealed interface OrderMessage {

    /**
     * Reports that a record of the ownership stream was read.
     *
     * @param record the record
     */
    record RecordRead(LogRecord record) implements OrderMessage {

        /** Checks the argument. */
        public RecordRead {
            Objects.requireNonNull(record, "record is null");
        }
    }

    /** Reports that records of the ownership stream expired before they were read. */
    record RecordsMissed() implements OrderMessage {}

    /**
     * Reports that the engine's inventory was read.
     *
     * @param inventory the inventory
     * @param requestedAt the time immediately before it was requested
     */
    record InventoryRead(EngineInventory inventory, HostTime requestedAt) implements OrderMessage {

        /** Checks the arguments. */
        public InventoryRead {
            Objects.requireNonNull(inventory, "inventory is null");
            Objects.requireNonNull(requestedAt, "requestedAt is null");
        }
    }

    /**
     * Requests a change; ignored if it can't be ordered now.
     *
     * @param change the change
     */
    record ChangeRequested(ResidencyChange change) implements OrderMessage {

        /** Checks the argument. */
        public ChangeRequested {
            Objects.requireNonNull(change, "change is null");
        }
    }

    /**
     * Reports that an order was not and will not be sent, because its time limit for sending passed
     * or its intent was certainly not written.
     *
     * @param order the order
     */
    record NotSent(OrderId order) implements OrderMessage {}

    /** Triggers the time-dependent checks without other input. */
    record Tick() implements OrderMessage {}
}
