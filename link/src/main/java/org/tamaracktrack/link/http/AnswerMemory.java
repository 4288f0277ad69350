package org.tamaracktrack.link.http;

import java.util.concurrent.atomic.AtomicLong;

/** Limits the bytes of all answers that are buffered at the same time. Safe for several threads. */
public final class AnswerMemory {
    private static final int PART_OF_HEAP = 8;
    private static final AnswerMemory PROCESS = of(Runtime.getRuntime().maxMemory() / PART_OF_HEAP);

    private final long maximumBytes;
    private final AtomicLong reservedBytes = new AtomicLong();

    private AnswerMemory(long maximumBytes) {
        this.maximumBytes = maximumBytes;
    }

    /**
     * Returns a limit.
     *
     * @param maximumBytes the maximum number of bytes
     * @return the limit
     */
    public static AnswerMemory of(long maximumBytes) {
        return new AnswerMemory(maximumBytes);
    }

    /**
     * Returns the limit of this process, an eighth of its maximum heap.
     *
     * @return the limit
     */
    public static AnswerMemory ofProcess() {
        return PROCESS;
    }

    /**
     * Reserves bytes.
     *
     * @param bytes the number of bytes
     * @return false, without any effect, if there would be too many
     */
    public boolean tryReserve(long bytes) {
        if (reservedBytes.addAndGet(bytes) <= maximumBytes) {
            return true;
        }
        reservedBytes.addAndGet(-bytes);
        return false;
    }

    /**
     * Gives reserved bytes back.
     *
     * @param bytes the number of bytes
     */
    public void release(long bytes) {
        reservedBytes.addAndGet(-bytes);
    }
}
