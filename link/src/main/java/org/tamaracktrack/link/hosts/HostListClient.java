package org.tamaracktrack.link.hosts;

import java.util.Map;
import org.tamaracktrack.core.id.HostId;

/** The platform's list of hosts. It lags, and may be wrong or unreachable. */
public interface HostListClient {

    /** What the list says of a host. */
    enum HostState {
        LIVE,
        LEAVING
    }

    /**
     * Reads the list.
     *
     * @return the hosts listed
     * @throws org.tamaracktrack.core.error.TamaracktrackException with {@code
     *     HOST_LIST_UNAVAILABLE}
     */
    Map<HostId, HostState> read();
}
