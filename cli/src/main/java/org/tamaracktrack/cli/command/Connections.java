package org.tamaracktrack.cli.command;

import java.net.InetSocketAddress;
import org.tamaracktrack.link.http.HttpCaller;
import org.tamaracktrack.link.log.LogClient;

/** Opens the connections that commands use, and closes them at the end. */
public interface Connections extends AutoCloseable {

    /**
     * Returns a client of the log service.
     *
     * @param address the address of the log service
     * @return the client
     */
    LogClient logClient(InetSocketAddress address);

    /**
     * Returns an HTTP client.
     *
     * @return the client
     */
    HttpCaller httpCaller();

    /** Closes all connections. */
    @Override
    void close();
}
