package org.tamaracktrack.core.dispatch;

import java.util.Objects;
import org.tamaracktrack.core.id.DataCentreId;

/**
 * A daemon that takes part in the exchange of loads.
 *
 * @param process names this run of its process
 * @param dataCentre where it stands
 * @param address IP:PORT at which it hears of loads
 */
public record Peer(String process, DataCentreId dataCentre, String address) {

    /** Checks the arguments. */
    public Peer {
        Objects.requireNonNull(process, "process is null");
        Objects.requireNonNull(dataCentre, "dataCentre is null");
        Objects.requireNonNull(address, "address is null");
    }
}
