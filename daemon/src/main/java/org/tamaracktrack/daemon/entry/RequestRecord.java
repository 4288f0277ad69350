package org.tamaracktrack.daemon.entry;

import java.util.Optional;
import org.tamaracktrack.core.exchange.ExchangeAction;
import org.tamaracktrack.core.message.Message;
import org.tamaracktrack.core.report.RequestOutcome;

/** What became of a request towards its caller, for the report of who got what. */
final class RequestRecord {
    private Optional<Message.Finished> finished = Optional.empty();
    private Optional<ExchangeAction.AnswerError> error = Optional.empty();
    private long passedBytes;
    private long writtenBytes;
    private boolean cut;
    private boolean goneEarly;

    private RequestRecord() {}

    static RequestRecord empty() {
        return new RequestRecord();
    }

    void finished(Message.Finished last) {
        finished = Optional.of(last);
    }

    void error(ExchangeAction.AnswerError failed) {
        error = Optional.of(failed);
    }

    void passed(int bytes) {
        passedBytes += bytes;
    }

    void written(int bytes) {
        writtenBytes += bytes;
    }

    void cut() {
        cut = true;
    }

    // A caller that has read the last event closes at once, often before the target's last word
    // has come here. It has its whole answer; only one that misses a part went away too early.
    void gone() {
        goneEarly |= writtenBytes < passedBytes || passedBytes == 0;
    }

    /** A part came for a caller that is gone. */
    void missed() {
        goneEarly = true;
    }

    /** The target's last word on an answer that the caller has whole. */
    Optional<Message.Finished> served() {
        return finished.filter(last -> error.isEmpty() && !cut && !goneEarly);
    }

    /** What became of a request that was not served. */
    RequestOutcome otherwise() {
        if (error.isPresent()) {
            return switch (error.get().ran()) {
                case NO -> RequestOutcome.refused(error.get().code());
                case UNKNOWN -> RequestOutcome.UNKNOWN;
                case YES -> RequestOutcome.FAILED;
            };
        }
        return cut ? RequestOutcome.FAILED : RequestOutcome.CANCELLED;
    }
}
