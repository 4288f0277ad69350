package org.tamaracktrack.core.target;

import java.util.Objects;
import org.tamaracktrack.core.id.OrderId;
import org.tamaracktrack.core.log.LogRecord;

/** What order control hears. */
public sealed interface OrderMessage {

    /**
     * A record of the ownership stream was read.
     *
     * @param record the record
     */
    record RecordRead(LogRecord record) implements OrderMessage {

        /** Checks the argument. */
        public RecordRead {
            Objects.requireNonNull(record, "record is null");
        }
    }

    /** Records of the ownership stream expired before they were read. */
    record RecordsMissed() implements OrderMessage {}

    /**
     * The engine's inventory was read.
     *
     * @param inventory the inventory
     * @param requestedAt the moment before it was asked for
     */
    record InventoryRead(EngineInventory inventory, Moment requestedAt) implements OrderMessage {

        /** Checks the arguments. */
        public InventoryRead {
            Objects.requireNonNull(inventory, "inventory is null");
            Objects.requireNonNull(requestedAt, "requestedAt is null");
        }
    }

    /**
     * A change is wanted.
     *
     * @param change the change
     */
    record Wanted(Change change) implements OrderMessage {

        /** Checks the argument. */
        public Wanted {
            Objects.requireNonNull(change, "change is null");
        }
    }

    /**
     * The order was not sent and will not be: its time to be sent had passed, or its intent was
     * certainly not written.
     *
     * @param order the order
     */
    record NotSent(OrderId order) implements OrderMessage {}

    /** Time passed. */
    record Tick() implements OrderMessage {}
}
