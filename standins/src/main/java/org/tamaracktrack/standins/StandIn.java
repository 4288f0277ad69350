package org.tamaracktrack.standins;

import io.undertow.server.HttpHandler;

/**
 * A stand-in: an emulator of an outside system, with the HTTP interface of that system and a
 * control interface for tests.
 */
public interface StandIn {

    /**
     * Returns the handler of the interface of the emulated system. The handler runs on worker
     * threads.
     *
     * @return the handler
     */
    HttpHandler serviceHandler();

    /**
     * Returns the handler of the control interface, by which tests inject faults. The handler runs
     * on worker threads.
     *
     * @return the handler
     */
    HttpHandler controlHandler();
}
