package org.tamaracktrack.core.dispatch;

import java.util.Objects;
import org.tamaracktrack.core.id.DataCentreId;

/**
 * A daemon that exchanges load information with others.
 *
 * @param process identifies this run of the process
 * @param dataCentre the data centre in which it runs
 * @param address IP:PORT at which it receives load information
 * @param processorShare the share of a core that it may use; 0 when unknown
 */
public record Peer(String process, DataCentreId dataCentre, String address, double processorShare) {

    /** Checks the arguments. */
    public Peer {
        Objects.requireNonNull(process, "process is null");
        Objects.requireNonNull(dataCentre, "dataCentre is null");
        Objects.requireNonNull(address, "address is null");
    }

    /**
     * Returns a daemon whose share of a core is unknown.
     *
     * @param process identifies this run of the process
     * @param dataCentre the data centre in which it runs
     * @param address IP:PORT at which it receives load information
     * @return the daemon
     */
    public static Peer of(String process, DataCentreId dataCentre, String address) {
        return new Peer(process, dataCentre, address, 0);
    }
}
