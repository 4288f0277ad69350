package org.tamaracktrack.daemon.relay;

import java.io.IOException;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/** Starts a worker with one input/output thread, as in the daemon. */
public final class TestWorker {
    private TestWorker() {}

    public static XnioWorker start() throws IOException {
        return Xnio.getInstance()
                .createWorker(
                        OptionMap.builder()
                                .set(Options.WORKER_IO_THREADS, 1)
                                .set(Options.THREAD_DAEMON, true)
                                .getMap());
    }
}
