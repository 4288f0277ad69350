package org.tamaracktrack.daemon.entry;

import java.util.Map;

/**
 * The way back to a caller. Used only on the thread of the caller's connection, which {@link
 * #execute} reaches from others.
 */
interface CallerChannel {

    /** Hears what becomes of the answer. */
    interface Listener {

        /** Bytes were written. */
        void onWritten(int bytes);

        /** The caller's connection closed before its answer was written. */
        void onGone();

        /** The answer is written, or will never be. */
        void onDone();
    }

    void execute(Runnable task);

    void after(long delayMillis, Runnable task);

    void listen(Listener listener);

    void whole(int status, Map<String, String> headers, byte[] body);

    void head(int status, Map<String, String> headers);

    void part(byte[] bytes);

    void end();

    void error(CallerError error);

    /** Breaks the connection off. */
    void cut();
}
