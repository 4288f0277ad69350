package org.tamaracktrack.cli.command;

import java.net.InetSocketAddress;
import org.tamaracktrack.link.http.HttpCaller;
import org.tamaracktrack.link.log.LogClient;

/** Opens the connections that commands use. */
public interface Links extends AutoCloseable {

    /**
     * Returns a client of the log.
     *
     * @param address the log service
     * @return the client
     */
    LogClient log(InetSocketAddress address);

    /**
     * Returns a caller for HTTP.
     *
     * @return the caller
     */
    HttpCaller http();

    /** Closes what was opened. */
    @Override
    void close();
}
