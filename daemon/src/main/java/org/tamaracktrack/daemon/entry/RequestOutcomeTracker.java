package org.tamaracktrack.daemon.entry;

import java.util.Optional;
import org.tamaracktrack.core.exchange.ExchangeAction;
import org.tamaracktrack.core.message.Message;
import org.tamaracktrack.core.report.RequestOutcome;

/** Tracks how the answer to one request ended for its caller, for the request counters. */
final class RequestOutcomeTracker {
    private Optional<Message.Finished> finished = Optional.empty();
    private Optional<ExchangeAction.AnswerError> error = Optional.empty();
    private long forwardedBytes;
    private long writtenBytes;
    private boolean aborted;
    private boolean disconnectedEarly;

    private RequestOutcomeTracker() {}

    static RequestOutcomeTracker empty() {
        return new RequestOutcomeTracker();
    }

    void recordFinished(Message.Finished message) {
        finished = Optional.of(message);
    }

    void recordError(ExchangeAction.AnswerError answer) {
        error = Optional.of(answer);
    }

    void recordForwarded(int bytes) {
        forwardedBytes += bytes;
    }

    void recordWritten(int bytes) {
        writtenBytes += bytes;
    }

    void recordAborted() {
        aborted = true;
    }

    // A caller that has read the last event closes its connection immediately, often before the
    // target's finished message arrives here. It has the complete answer and counts as served; only
    // a caller that misses a part disconnected too early.
    void recordDisconnected() {
        disconnectedEarly |= writtenBytes < forwardedBytes || forwardedBytes == 0;
    }

    /** Records that a part of the answer arrived after the caller had disconnected. */
    void recordMissedPart() {
        disconnectedEarly = true;
    }

    /** Returns the target's finished message if the caller received the complete answer. */
    Optional<Message.Finished> servedAnswer() {
        return finished.filter(message -> error.isEmpty() && !aborted && !disconnectedEarly);
    }

    /** Returns the outcome of a request that was not served. */
    RequestOutcome unservedOutcome() {
        if (error.isPresent()) {
            return switch (error.get().ran()) {
                case NO -> RequestOutcome.refused(error.get().code());
                case UNKNOWN -> RequestOutcome.UNKNOWN;
                case YES -> RequestOutcome.FAILED;
            };
        }
        return aborted ? RequestOutcome.FAILED : RequestOutcome.CANCELLED;
    }
}
