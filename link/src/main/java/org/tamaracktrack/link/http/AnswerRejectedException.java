package org.tamaracktrack.link.http;

import java.io.IOException;
import java.io.Serial;

/** Ends the reading of an answer that exceeds a bound or is not an HTTP/1 answer. */
final class AnswerRejectedException extends IOException {
    @Serial private static final long serialVersionUID = 1L;

    private final AnswerRejection.Reason reason;

    private AnswerRejectedException(AnswerRejection.Reason reason) {
        super("answer rejected: " + reason.text());
        this.reason = reason;
    }

    static AnswerRejectedException of(AnswerRejection.Reason reason) {
        return new AnswerRejectedException(reason);
    }

    AnswerRejection.Reason reason() {
        return reason;
    }
}
