package org.tamaracktrack.core.dispatch;

import java.util.Objects;
import org.tamaracktrack.core.id.DataCentreId;

/**
 * A daemon that exchanges load information with others.
 *
 * @param process identifies this run of the process
 * @param dataCentre the data centre in which it runs
 * @param address IP:PORT at which it receives load information
 */
public record Peer(String process, DataCentreId dataCentre, String address) {

    /** Checks the arguments. */
    public Peer {
        Objects.requireNonNull(process, "process is null");
        Objects.requireNonNull(dataCentre, "dataCentre is null");
        Objects.requireNonNull(address, "address is null");
    }
}
