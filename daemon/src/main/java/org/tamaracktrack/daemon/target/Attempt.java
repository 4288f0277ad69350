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
 * Forwards the answer of one attempt from the engine or plain service to the entry daemon, as far
 * as the credit granted by the entry daemon allows. Called by the control thread and by
 * input/output threads, which synchronize on this object.
 */
final class Attempt implements HttpListener {
    private static final int MAXIMUM_CHUNK_BYTES = 64 * 1024;
    private static final int MAXIMUM_WITHHELD_BYTES = 64 * 1024;
    private static final int OK = 200;

    private final Message.Submit submit;
    private final Connection connection;
    private final long arrivedAtMillis;
    private final AttemptListener listener;
    private final AnswerState answer = AnswerState.waiting();
    private final TokenUsageParser tokenUsage = TokenUsageParser.empty();
    private final ByteArrayOutputStream withheldBody = new ByteArrayOutputStream();
    private Optional<HttpStream> stream = Optional.empty();
    private Optional<ErrorCode> cancellationCode = Optional.empty();
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

    synchronized void recordQueuedMillis(long millis) {
        queuedMillis = millis;
    }

    /** Sends the attempt to the target and returns true; returns false if it has already ended. */
    boolean send(Function<HttpListener, HttpStream> openStream) {
        synchronized (this) {
            if (!answer.send()) {
                return false;
            }
        }
        HttpStream opened = openStream.apply(this);
        synchronized (this) {
            stream = Optional.of(opened);
            // A cancellation between answer.send() and this point found no stream to close.
            if (cancellationCode.isPresent()) {
                opened.cancel();
            } else if (credit <= 0) {
                opened.pause();
            }
        }
        return true;
    }

    // Called by the thread that is about to write the first byte. If the process was suspended
    // after the attempt was started, the caller may already have been answered.
    private boolean isInTime() {
        return ControlThread.nowMillis() < firstTokenByMillis();
    }

    synchronized boolean maySend() {
        return cancellationCode.isEmpty() && isInTime();
    }

    /** Cancels the attempt with an error code. The code of the first cancellation is kept. */
    synchronized void cancel(ErrorCode code) {
        cancellationCode = cancellationCode.or(() -> Optional.of(code));
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
            Head head = new Head(status, AnswerHeaders.forwardable(headers));
            if (submit.kind() == Message.CallKind.MODEL && EngineRefusal.mayBe(status)) {
                withheldHead = Optional.of(head);
                return;
            }
            sendHead(head);
        }
    }

    private void sendHead(Head head) {
        if (answer.start()) {
            sendFrame(new Message.Started(submit.attempt(), head.status(), head.headers()));
        }
    }

    @Override
    public void onBytes(byte[] bytes) {
        boolean isFirst;
        synchronized (this) {
            isFirst = !firstBytesSeen;
            firstBytesSeen = true;
            if (withheldHead.isPresent()) {
                withhold(bytes);
            } else {
                forward(bytes);
            }
        }
        if (isFirst) {
            listener.onFirstBytes(this);
        }
    }

    private void withhold(byte[] bytes) {
        withheldBody.writeBytes(bytes);
        if (withheldBody.size() > MAXIMUM_WITHHELD_BYTES) {
            forwardWithheld();
        }
    }

    private void forwardWithheld() {
        withheldHead.ifPresent(this::sendHead);
        withheldHead = Optional.empty();
        forward(withheldBody.toByteArray());
    }

    private void forward(byte[] bytes) {
        tokenUsage.add(bytes);
        IntStream.iterate(0, from -> from < bytes.length, from -> from + MAXIMUM_CHUNK_BYTES)
                .mapToObj(
                        from ->
                                Arrays.copyOfRange(
                                        bytes,
                                        from,
                                        Math.min(bytes.length, from + MAXIMUM_CHUNK_BYTES)))
                .forEach(this::sendChunk);
        // Back-pressure: the answer to a slow caller would otherwise accumulate in the entry
        // daemon. While reading is paused, TCP flow control stops the engine.
        if (credit <= 0) {
            stream.ifPresent(HttpStream::pause);
        }
    }

    private void sendChunk(byte[] part) {
        int sequence = answer.nextChunk();
        if (sequence >= 0) {
            credit -= part.length;
            sendFrame(new Message.Chunk(submit.attempt(), sequence, part));
        }
    }

    // A frame that was not queued leaves a gap in the answer. The stream is cancelled, so that the
    // attempt ends as failed and a truncated answer is never reported as complete.
    private void sendFrame(Message message) {
        if (!connection.send(message)) {
            cancel(ErrorCode.ANSWER_CUT);
        }
    }

    @Override
    public void onEnd() {
        Optional<ErrorCode> notRun = Optional.empty();
        boolean complete;
        synchronized (this) {
            if (withheldHead.isPresent()) {
                notRun = EngineRefusal.read(headStatus, withheldBody.toByteArray());
                if (notRun.isPresent()) {
                    answer.markNotRun();
                } else {
                    forwardWithheld();
                }
            }
            complete = isComplete();
        }
        if (notRun.isPresent()) {
            listener.onNotRun(this, notRun.get());
        } else if (complete) {
            listener.onComplete(this);
        } else {
            listener.onFailed(this, ErrorCode.ANSWER_CUT, Ran.YES);
        }
    }

    // An engine that crashes between two events may still close its connection properly. Without
    // the check for the end marker the answer would look complete to the caller.
    private boolean isComplete() {
        boolean isEventStream =
                headHeaders.getOrDefault("content-type", "").startsWith("text/event-stream");
        boolean needsEndMark =
                submit.kind() == Message.CallKind.MODEL && headStatus == OK && isEventStream;
        return cancellationCode.isEmpty() && (!needsEndMark || tokenUsage.isStreamComplete());
    }

    @Override
    public void onFailure(HttpFailure failure) {
        Optional<ErrorCode> cancelled;
        boolean started;
        synchronized (this) {
            cancelled = cancellationCode;
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

    /** Refuses the attempt as not run; returns false if it has already ended. */
    synchronized boolean refuse(ErrorCode code, long retryAfterMillis, Message.Load load) {
        if (!answer.refuse()) {
            return false;
        }
        return sendLastFrame(new Message.Refused(submit.attempt(), code, retryAfterMillis, load));
    }

    /** Ends the attempt with a complete answer; returns false if it has already ended. */
    synchronized boolean finish(Message.Load load) {
        if (!answer.end()) {
            return false;
        }
        return sendLastFrame(
                new Message.Finished(
                        submit.attempt(),
                        answer.chunks(),
                        tokenUsage.promptTokens(),
                        tokenUsage.answerTokens(),
                        queuedMillis,
                        load));
    }

    /** Ends the attempt as failed; returns false if it has already ended. */
    synchronized boolean fail(ErrorCode code, Ran ran, Message.Load load) {
        if (!answer.end()) {
            return false;
        }
        return sendLastFrame(new Message.Failed(submit.attempt(), code, ran, load));
    }

    // Without the last frame the entry daemon would wait until the deadline. Closing the connection
    // makes it treat the outcome as unknown immediately.
    private boolean sendLastFrame(Message message) {
        if (!connection.send(message)) {
            connection.close();
        }
        return true;
    }

    synchronized OptionalInt totalTokens() {
        int tokens = tokenUsage.promptTokens() + tokenUsage.answerTokens();
        return tokens > 0 ? OptionalInt.of(tokens) : OptionalInt.empty();
    }

    synchronized boolean mayHaveRun() {
        return answer.mayHaveRun();
    }
}
