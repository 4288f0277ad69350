package org.tamaracktrack.standins.http;

/** Holds threads back while it is closed, as a frozen process would. */
public final class Gate {
    private boolean closed;

    /** Makes an open gate. */
    public Gate() {}

    /**
     * Closes or opens the gate.
     *
     * @param close whether to close it
     */
    public synchronized void set(boolean close) {
        closed = close;
        notifyAll();
    }

    /** Waits until the gate is open. */
    public synchronized void pass() {
        while (closed) {
            try {
                wait();
            } catch (InterruptedException interrupted) {
                Thread.currentThread().interrupt();
                return;
            }
        }
    }
}
