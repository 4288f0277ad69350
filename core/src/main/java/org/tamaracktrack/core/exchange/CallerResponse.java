package org.tamaracktrack.core.exchange;

import java.util.List;
import java.util.Map;
import org.tamaracktrack.core.error.ErrorCode;

/** The response sent to the caller. Checks that the caller receives exactly one answer. */
final class CallerResponse {
    private final List<ExchangeAction> actions;
    private State state = State.WAITING;

    private enum State {
        WAITING,
        STARTED,
        ANSWERED
    }

    CallerResponse(List<ExchangeAction> actions) {
        this.actions = actions;
    }

    boolean hasStarted() {
        return state == State.STARTED;
    }

    boolean isAnswered() {
        return state == State.ANSWERED;
    }

    void sendHead(int status, Map<String, String> headers) {
        if (state == State.WAITING) {
            state = State.STARTED;
            actions.add(new ExchangeAction.AnswerHead(status, headers));
        }
    }

    void sendPart(byte[] bytes) {
        send(State.STARTED, State.STARTED, new ExchangeAction.AnswerPart(bytes));
    }

    void sendEnd() {
        send(State.STARTED, State.ANSWERED, new ExchangeAction.AnswerEnd());
    }

    void sendWhole(int status, Map<String, String> headers, byte[] body) {
        send(State.WAITING, State.ANSWERED, new ExchangeAction.AnswerWhole(status, headers, body));
    }

    // A caller would read an error after a part of an answer as more of that answer, and an orderly
    // end would make the part appear complete, so the connection is closed instead.
    void sendError(ExchangeAction.AnswerError error) {
        if (state == State.STARTED) {
            send(State.STARTED, State.ANSWERED, new ExchangeAction.CutCaller());
        } else {
            send(State.WAITING, State.ANSWERED, error);
        }
    }

    void callerDisconnected() {
        state = State.ANSWERED;
    }

    // Checked in production too: the caller would read a second answer as the answer to its next
    // request. The second answer is not sent, and the connection is closed.
    private void send(State expected, State next, ExchangeAction action) {
        if (state == expected) {
            state = next;
            actions.add(action);
            return;
        }
        state = State.ANSWERED;
        actions.add(
                new ExchangeAction.Breach(
                        ErrorCode.INVARIANT_BREACH,
                        "second answer to one request: " + action.getClass().getSimpleName()));
        actions.add(new ExchangeAction.CutCaller());
    }
}
