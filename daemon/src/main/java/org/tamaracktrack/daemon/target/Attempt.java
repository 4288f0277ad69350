package org.tamaracktrack.daemon.target;

import java.io.ByteArrayOutputStream;
import java.util.Arrays;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.function.Function;
import java.util.stream.IntStream;
import org.tamaracktrack.core.error.ErrorCode;
import org.tamaracktrack.core.error.Ran;
import org.tamaracktrack.core.message.Message;
import org.tamaracktrack.core.target.AnswerState;
import org.tamaracktrack.core.target.TokenUsageParser;
import org.tamaracktrack.daemon.runtime.ControlThread;
import org.tamaracktrack.link.frame.Connection;
import org.tamaracktrack.link.http.HttpFailure;
import org.tamaracktrack.link.http.HttpListener;
import org.tamaracktrack.link.http.HttpStream;

/**
 * The traffic of one attempt: bytes from the engine or service go to the entry daemon as far as its
 * credit allows. Called by control and by input/output threads; its own lock orders them.
 */
final class Attempt implements HttpListener {
    private static final int LARGEST_CHUNK_BYTES = 64 * 1024;
    private static final int LARGEST_REFUSAL_BYTES = 64 * 1024;
    private static final int OK = 200;

    private final Message.Submit submit;
    private final Connection connection;
    private final long arrivedAtMillis;
    private final AttemptListener listener;
    private final AnswerState answer = AnswerState.waiting();
    private final TokenUsageParser usage = TokenUsageParser.empty();
    private final ByteArrayOutputStream refusal = new ByteArrayOutputStream();
    private Optional<HttpStream> stream = Optional.empty();
    private Optional<ErrorCode> cancelledWith = Optional.empty();
    private Optional<Head> withheldHead = Optional.empty();
    private Map<String, String> headHeaders = Map.of();
    private int headStatus;
    private long credit;
    private boolean firstBytesSeen;
    private long queuedMillis;

    private record Head(int status, Map<String, String> headers) {}

    private Attempt(
            Message.Submit submit,
            Connection connection,
            long arrivedAtMillis,
            AttemptListener listener) {
        this.submit = submit;
        this.connection = connection;
        this.arrivedAtMillis = arrivedAtMillis;
        this.listener = listener;
        this.credit = submit.creditBytes();
    }

    static Attempt of(
            Message.Submit submit,
            Connection connection,
            long arrivedAtMillis,
            AttemptListener listener) {
        return new Attempt(submit, connection, arrivedAtMillis, listener);
    }

    Message.Submit submit() {
        return submit;
    }

    Connection connection() {
        return connection;
    }

    long arrivedAtMillis() {
        return arrivedAtMillis;
    }

    long firstTokenByMillis() {
        return arrivedAtMillis + submit.waitLimitMillis();
    }

    long deadlineMillis() {
        return arrivedAtMillis + submit.deadlineMillis();
    }

    synchronized void queuedFor(long millis) {
        queuedMillis = millis;
    }

    /** Sends the attempt, unless it has ended. */
    boolean send(Function<HttpListener, HttpStream> call) {
        synchronized (this) {
            if (!answer.send()) {
                return false;
            }
        }
        HttpStream opened = call.apply(this);
        synchronized (this) {
            stream = Optional.of(opened);
            // A cancel may have come between the claim and the opening; it found no stream to
            // close.
            if (cancelledWith.isPresent()) {
                opened.cancel();
            } else if (credit <= 0) {
                opened.pause();
            }
        }
        return true;
    }

    // Asked by the thread that is about to write the first byte. The process may have been frozen
    // since the attempt was started, and its caller answered meanwhile.
    private boolean isInTime() {
        return ControlThread.nowMillis() < firstTokenByMillis();
    }

    synchronized boolean maySend() {
        return cancelledWith.isEmpty() && isInTime();
    }

    /** The caller no longer wants it, or its time is up. */
    synchronized void cancel(ErrorCode code) {
        cancelledWith = cancelledWith.or(() -> Optional.of(code));
        stream.ifPresent(HttpStream::cancel);
    }

    synchronized void addCredit(int bytes) {
        boolean wasSpent = credit <= 0;
        credit += Math.max(0, bytes);
        if (wasSpent && credit > 0) {
            stream.ifPresent(HttpStream::resume);
        }
    }

    @Override
    public void onHead(int status, Map<String, String> headers) {
        synchronized (this) {
            headStatus = status;
            headHeaders = headers;
            Head head = new Head(status, AnswerHeaders.passedOn(headers));
            if (submit.kind() == Message.CallKind.MODEL && EngineRefusal.mayBe(status)) {
                withheldHead = Optional.of(head);
                return;
            }
            sendHead(head);
        }
    }

    private void sendHead(Head head) {
        if (answer.start()) {
            deliver(new Message.Started(submit.attempt(), head.status(), head.headers()));
        }
    }

    @Override
    public void onBytes(byte[] bytes) {
        boolean first;
        synchronized (this) {
            first = !firstBytesSeen;
            firstBytesSeen = true;
            if (withheldHead.isPresent()) {
                withhold(bytes);
            } else {
                pass(bytes);
            }
        }
        if (first) {
            listener.onFirstBytes(this);
        }
    }

    private void withhold(byte[] bytes) {
        refusal.writeBytes(bytes);
        if (refusal.size() > LARGEST_REFUSAL_BYTES) {
            passWithheld();
        }
    }

    private void passWithheld() {
        withheldHead.ifPresent(this::sendHead);
        withheldHead = Optional.empty();
        pass(refusal.toByteArray());
    }

    private void pass(byte[] bytes) {
        usage.add(bytes);
        IntStream.iterate(0, from -> from < bytes.length, from -> from + LARGEST_CHUNK_BYTES)
                .mapToObj(
                        from ->
                                Arrays.copyOfRange(
                                        bytes,
                                        from,
                                        Math.min(bytes.length, from + LARGEST_CHUNK_BYTES)))
                .forEach(this::sendChunk);
        // A caller that reads slowly would have its whole answer pile up in the entry daemon;
        // reading stops here until it has caught up, and TCP holds the engine back.
        if (credit <= 0) {
            stream.ifPresent(HttpStream::pause);
        }
    }

    private void sendChunk(byte[] part) {
        int sequence = answer.nextChunk();
        if (sequence >= 0) {
            credit -= part.length;
            deliver(new Message.Chunk(submit.attempt(), sequence, part));
        }
    }

    // A frame that was not queued is a hole in the answer. The stream ends, so that what follows is
    // a failure and never the end of a whole answer.
    private void deliver(Message message) {
        if (!connection.send(message)) {
            cancel(ErrorCode.ANSWER_CUT);
        }
    }

    @Override
    public void onEnd() {
        Optional<ErrorCode> notRun = Optional.empty();
        boolean whole;
        synchronized (this) {
            if (withheldHead.isPresent()) {
                notRun = EngineRefusal.read(headStatus, refusal.toByteArray());
                if (notRun.isPresent()) {
                    answer.markNotRun();
                } else {
                    passWithheld();
                }
            }
            whole = isWhole();
        }
        if (notRun.isPresent()) {
            listener.onNotRun(this, notRun.get());
        } else if (whole) {
            listener.onWhole(this);
        } else {
            listener.onFailed(this, ErrorCode.ANSWER_CUT, Ran.YES);
        }
    }

    // An engine that dies between two events may close its connection in good order; without the
    // end mark the answer would look complete to the caller.
    private boolean isWhole() {
        boolean events =
                headHeaders.getOrDefault("content-type", "").startsWith("text/event-stream");
        boolean needsEndMark =
                submit.kind() == Message.CallKind.MODEL && headStatus == OK && events;
        return cancelledWith.isEmpty() && (!needsEndMark || usage.isStreamComplete());
    }

    @Override
    public void onFailure(HttpFailure failure) {
        Optional<ErrorCode> cancelled;
        boolean started;
        synchronized (this) {
            cancelled = cancelledWith;
            started = headStatus > 0;
            if (failure == HttpFailure.NOT_SENT) {
                answer.markNotRun();
            }
        }
        if (failure == HttpFailure.NOT_SENT) {
            listener.onNotRun(this, notSentCode(cancelled));
        } else if (cancelled.isPresent()) {
            listener.onFailed(this, cancelled.get(), started ? Ran.YES : Ran.UNKNOWN);
        } else {
            listener.onFailed(this, codeOf(failure), started ? Ran.YES : Ran.UNKNOWN);
        }
    }

    private ErrorCode notSentCode(Optional<ErrorCode> cancelled) {
        if (cancelled.isPresent()) {
            return ErrorCode.CANCELLED_BEFORE_START;
        }
        return isInTime() ? ErrorCode.ENGINE_UNAVAILABLE : ErrorCode.DEADLINE_BEFORE_START;
    }

    private static ErrorCode codeOf(HttpFailure failure) {
        return switch (failure) {
            case TIMED_OUT -> ErrorCode.DEADLINE_WHILE_RUNNING;
            case ANSWER_CUT -> ErrorCode.ANSWER_CUT;
            case CANCELLED -> ErrorCode.CANCELLED;
            default -> ErrorCode.OUTCOME_UNKNOWN;
        };
    }

    /** Refuses the attempt as not run; false when it has ended already. */
    synchronized boolean refuse(ErrorCode code, long retryAfterMillis, Message.Load load) {
        if (!answer.refuse()) {
            return false;
        }
        return sendEnd(new Message.Refused(submit.attempt(), code, retryAfterMillis, load));
    }

    /** Ends the attempt as whole; false when it has ended already. */
    synchronized boolean finish(Message.Load load) {
        if (!answer.end()) {
            return false;
        }
        return sendEnd(
                new Message.Finished(
                        submit.attempt(),
                        answer.chunks(),
                        usage.promptTokens(),
                        usage.answerTokens(),
                        queuedMillis,
                        load));
    }

    /** Ends the attempt as failed; false when it has ended already. */
    synchronized boolean fail(ErrorCode code, Ran ran, Message.Load load) {
        if (!answer.end()) {
            return false;
        }
        return sendEnd(new Message.Failed(submit.attempt(), code, ran, load));
    }

    // Without its last frame the entry daemon would wait until the deadline; a closed connection
    // tells it at once that the outcome is unknown.
    private boolean sendEnd(Message message) {
        if (!connection.send(message)) {
            connection.close();
        }
        return true;
    }

    synchronized OptionalInt tokens() {
        int tokens = usage.promptTokens() + usage.answerTokens();
        return tokens > 0 ? OptionalInt.of(tokens) : OptionalInt.empty();
    }

    synchronized boolean mayHaveRun() {
        return answer.mayHaveRun();
    }
}
