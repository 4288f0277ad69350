package org.tamaracktrack.core.exchange;

import java.util.List;
import java.util.Map;
import org.tamaracktrack.core.error.ErrorCode;

/** What the caller has been sent. Asserts that it is one answer. */
final class CallerSide {
    private final List<ExchangeAction> actions;
    private State state = State.WAITING;

    private enum State {
        WAITING,
        BEGUN,
        ANSWERED
    }

    CallerSide(List<ExchangeAction> actions) {
        this.actions = actions;
    }

    boolean begun() {
        return state == State.BEGUN;
    }

    boolean answered() {
        return state == State.ANSWERED;
    }

    void head(int status, Map<String, String> headers) {
        if (state == State.WAITING) {
            state = State.BEGUN;
            actions.add(new ExchangeAction.AnswerHead(status, headers));
        }
    }

    void part(byte[] bytes) {
        add(State.BEGUN, State.BEGUN, new ExchangeAction.AnswerPart(bytes));
    }

    void end() {
        add(State.BEGUN, State.ANSWERED, new ExchangeAction.AnswerEnd());
    }

    void whole(int status, Map<String, String> headers, byte[] body) {
        add(State.WAITING, State.ANSWERED, new ExchangeAction.AnswerWhole(status, headers, body));
    }

    // An error after part of an answer would be read as more of that answer, and an orderly end
    // would make the part look whole; the connection is broken off instead.
    void error(ExchangeAction.AnswerError error) {
        if (state == State.BEGUN) {
            add(State.BEGUN, State.ANSWERED, new ExchangeAction.CutCaller());
        } else {
            add(State.WAITING, State.ANSWERED, error);
        }
    }

    void gone() {
        state = State.ANSWERED;
    }

    // Asserted always: two answers to one request would reach the caller as an answer to its next
    // one. The second is not sent, and the connection is broken off.
    private void add(State expected, State next, ExchangeAction action) {
        if (state == expected) {
            state = next;
            actions.add(action);
            return;
        }
        state = State.ANSWERED;
        actions.add(
                new ExchangeAction.Breach(
                        ErrorCode.INVARIANT_BREACH,
                        "a second answer: " + action.getClass().getSimpleName()));
        actions.add(new ExchangeAction.CutCaller());
    }
}
