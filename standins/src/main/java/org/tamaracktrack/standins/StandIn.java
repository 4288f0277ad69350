package org.tamaracktrack.standins;

import io.undertow.server.HttpHandler;

/** The two interfaces of a stand-in. */
public interface StandIn {

    /**
     * Returns the interface of the system that it takes the place of. Called on worker threads.
     *
     * @return the handler
     */
    HttpHandler service();

    /**
     * Returns the interface by which tests make it misbehave. Called on worker threads.
     *
     * @return the handler
     */
    HttpHandler control();
}
