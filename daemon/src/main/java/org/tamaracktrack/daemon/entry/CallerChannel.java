package org.tamaracktrack.daemon.entry;

import java.util.Map;

/**
 * Sends the answer to a caller. All methods except {@link #execute} must be called on the thread of
 * the caller's connection; other threads use {@link #execute} to run a task there.
 */
interface CallerChannel {

    /** Is notified of the progress of the answer, on the thread of the caller's connection. */
    interface Listener {

        /** Called after bytes of the answer were written. */
        void onWritten(int bytes);

        /** Called when the caller's connection closed before the answer was written completely. */
        void onDisconnected();

        /** Called once when the answer was written completely or never will be. */
        void onCompleted();
    }

    /** Runs a task on the thread of the caller's connection. Thread-safe. */
    void execute(Runnable task);

    /** Runs a task on the thread of the caller's connection after a delay in milliseconds. */
    void executeAfter(long delayMillis, Runnable task);

    /** Sets the listener. Must be called before the answer is sent. */
    void listen(Listener listener);

    /** Notifies the listener before it returns if the caller has closed the connection by now. */
    void detectDisconnect();

    /** Sends a complete answer, with its length. */
    void sendWhole(int status, Map<String, String> headers, byte[] body);

    /** Sends the head of an answer of unknown length. */
    void sendHead(int status, Map<String, String> headers);

    void sendPart(byte[] bytes);

    void sendEnd();

    void sendError(CallerError error);

    /** Closes the connection abruptly, so that an incomplete answer does not appear complete. */
    void abort();
}
