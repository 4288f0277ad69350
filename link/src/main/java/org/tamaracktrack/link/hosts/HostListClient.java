package org.tamaracktrack.link.hosts;

import java.util.Map;
import org.tamaracktrack.core.id.HostId;

/** A client of the platform's list of hosts. The list may be out of date, wrong or unavailable. */
public interface HostListClient {

    /** The state of a host according to the list. */
    enum HostState {
        LIVE,
        LEAVING
    }

    /**
     * Reads the list. Blocks until the response arrives.
     *
     * @return the state of each listed host
     * @throws org.tamaracktrack.core.error.TamaracktrackException with {@code
     *     HOST_LIST_UNAVAILABLE} if the list can't be read
     */
    Map<HostId, HostState> read();
}
