package org.tamaracktrack.core.target;

import org.tamaracktrack.core.error.ErrorCode;
import org.tamaracktrack.core.error.TamaracktrackException;

/**
 * Tracks the progress of the answer to one attempt and decides which frames may still be sent for
 * it. An attempt ends exactly once: refused, finished or failed. Not thread-safe.
 */
public final class AnswerState {
    private enum Stage {
        WAITING,
        SENT_TO_ENGINE,
        STARTED,
        ENDED
    }

    private Stage stage = Stage.WAITING;
    private boolean confirmedNotRun;
    private int chunks;

    private AnswerState() {}

    /**
     * Returns the state of an attempt that waits to be sent to the engine.
     *
     * @return the state
     */
    public static AnswerState waiting() {
        return new AnswerState();
    }

    /**
     * Claims the attempt for being sent to the engine.
     *
     * @return false if it has ended, for instance by cancellation, and must not be sent
     */
    public boolean send() {
        if (stage == Stage.ENDED) {
            return false;
        }
        require(stage == Stage.WAITING, "was sent to the engine twice");
        stage = Stage.SENT_TO_ENGINE;
        return true;
    }

    /** Records that the attempt did not run, by the engine's answer or a failed connection. */
    public void markNotRun() {
        if (stage != Stage.ENDED) {
            require(
                    stage == Stage.SENT_TO_ENGINE,
                    "was reported as not run while no answer was awaited");
            confirmedNotRun = true;
        }
    }

    /**
     * Records that the head of the answer is sent.
     *
     * @return false if the attempt has ended and the frame must not be sent
     */
    public boolean start() {
        if (stage == Stage.ENDED) {
            return false;
        }
        require(
                stage == Stage.SENT_TO_ENGINE,
                "was started twice or before it was sent to the engine");
        stage = Stage.STARTED;
        return true;
    }

    /**
     * Assigns the number of the next chunk.
     *
     * @return the number, or -1 if the attempt has ended and the frame must not be sent
     */
    public int nextChunk() {
        if (stage == Stage.ENDED) {
            return -1;
        }
        require(stage == Stage.STARTED, "sent a chunk before the head of the answer");
        return chunks++;
    }

    /**
     * Claims the end of the attempt.
     *
     * @return false if it has already ended
     */
    public boolean end() {
        if (stage == Stage.ENDED) {
            return false;
        }
        stage = Stage.ENDED;
        return true;
    }

    // A refusal tells the client that a retry is safe. If it were sent for a request that the
    // engine may be running, a retry could execute the request twice.
    /**
     * Claims the end of the attempt as not run.
     *
     * @return false if it has already ended
     * @throws TamaracktrackException with {@code INVARIANT_BREACH} if it may have run
     */
    public boolean refuse() {
        if (stage == Stage.ENDED) {
            return false;
        }
        require(!mayHaveRun(), "was refused as not run although it may have run");
        return end();
    }

    /**
     * Returns whether the attempt may have run.
     *
     * @return true once it has been claimed for sending, unless it is known not to have run
     */
    public boolean mayHaveRun() {
        return stage == Stage.STARTED || (stage == Stage.SENT_TO_ENGINE && !confirmedNotRun);
    }

    /**
     * Returns the number of chunks sent.
     *
     * @return the number
     */
    public int chunks() {
        return chunks;
    }

    private static void require(boolean condition, String violation) {
        if (!condition) {
            throw TamaracktrackException.of(ErrorCode.INVARIANT_BREACH, "attempt " + violation);
        }
    }
}
