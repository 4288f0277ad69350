package org.tamaracktrack.core.target;

import org.tamaracktrack.core.error.ErrorCode;
import org.tamaracktrack.core.error.TamaracktrackException;

/**
 * How far the answer to one attempt is, and which frames may still be sent for it. An attempt gets
 * one end: refused, finished or failed. For one thread at a time.
 */
public final class AnswerState {
    private enum Stage {
        WAITING,
        SENT_TO_ENGINE,
        STARTED,
        ENDED
    }

    private Stage stage = Stage.WAITING;
    private boolean engineSaidNotRun;
    private int chunks;

    private AnswerState() {}

    /**
     * Returns the state of an attempt that waits.
     *
     * @return the state
     */
    public static AnswerState waiting() {
        return new AnswerState();
    }

    /**
     * Claims the attempt for sending it to the engine.
     *
     * @return false when it has ended, for instance by a cancel, and must not be sent
     */
    public boolean send() {
        if (stage == Stage.ENDED) {
            return false;
        }
        require(stage == Stage.WAITING, "sent twice");
        stage = Stage.SENT_TO_ENGINE;
        return true;
    }

    /** Notes that the engine itself said, or the failed connection shows, that nothing ran. */
    public void notRun() {
        if (stage != Stage.ENDED) {
            require(stage == Stage.SENT_TO_ENGINE, "said not to have run after it had started");
            engineSaidNotRun = true;
        }
    }

    /**
     * Notes that the head of the answer goes out.
     *
     * @return false when the attempt has ended and the frame must not be sent
     */
    public boolean start() {
        if (stage == Stage.ENDED) {
            return false;
        }
        require(stage == Stage.SENT_TO_ENGINE, "started twice, or before it was sent");
        stage = Stage.STARTED;
        return true;
    }

    /**
     * Takes the number of the next chunk.
     *
     * @return the number, or -1 when the attempt has ended and the frame must not be sent
     */
    public int nextChunk() {
        if (stage == Stage.ENDED) {
            return -1;
        }
        require(stage == Stage.STARTED, "chunk before the head");
        return chunks++;
    }

    /**
     * Claims the one end of the attempt.
     *
     * @return false when it has ended already
     */
    public boolean end() {
        if (stage == Stage.ENDED) {
            return false;
        }
        stage = Stage.ENDED;
        return true;
    }

    // A refusal tells the caller's client that a repeat is safe. Said of a request that the engine
    // may be running, it would make one order of goods into two.
    /**
     * Claims the end of the attempt as not run.
     *
     * @return false when it has ended already
     * @throws TamaracktrackException with {@code INVARIANT_BREACH} when it may have run
     */
    public boolean refuse() {
        if (stage == Stage.ENDED) {
            return false;
        }
        require(!mayHaveRun(), "refused as not run though it may have run");
        return end();
    }

    /**
     * Returns whether the attempt may have run.
     *
     * @return true from the moment it was claimed for sending, unless the engine said otherwise
     */
    public boolean mayHaveRun() {
        return stage == Stage.STARTED || (stage == Stage.SENT_TO_ENGINE && !engineSaidNotRun);
    }

    /**
     * Returns how many chunks went out.
     *
     * @return the number
     */
    public int chunks() {
        return chunks;
    }

    private static void require(boolean holds, String otherwise) {
        if (!holds) {
            throw TamaracktrackException.of(ErrorCode.INVARIANT_BREACH, "attempt " + otherwise);
        }
    }
}
