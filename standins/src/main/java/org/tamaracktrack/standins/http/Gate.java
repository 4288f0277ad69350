package org.tamaracktrack.standins.http;

/** Blocks threads while it is closed, to emulate a process that is suspended. */
public final class Gate {
    private boolean closed;

    /** Creates an open gate. */
    public Gate() {}

    /**
     * Closes or opens the gate.
     *
     * @param close whether to close the gate
     */
    public synchronized void setClosed(boolean close) {
        closed = close;
        notifyAll();
    }

    /** Waits until the gate is open. */
    public synchronized void awaitOpen() {
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
