package org.tamaracktrack.daemon.gateway;

import java.io.ByteArrayOutputStream;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.jboss.logging.Logger;
import org.tamaracktrack.core.dispatch.AnswerKind;
import org.tamaracktrack.core.dispatch.AttemptEnd;
import org.tamaracktrack.core.dispatch.Delivery;
import org.tamaracktrack.core.dispatch.DispatchRequest;
import org.tamaracktrack.core.dispatch.ReportedLoad;
import org.tamaracktrack.core.dispatch.TargetLoad;
import org.tamaracktrack.core.dispatch.TargetSelector;
import org.tamaracktrack.core.fleet.TargetEntry;
import org.tamaracktrack.core.quarantine.AnswerProgress;
import org.tamaracktrack.link.http.AnswerMemory;
import org.tamaracktrack.link.http.AnswerRejection;
import org.tamaracktrack.link.http.CallLimits;
import org.tamaracktrack.link.http.HttpCall;
import org.tamaracktrack.link.http.HttpFailure;
import org.tamaracktrack.link.http.HttpListener;
import org.tamaracktrack.link.http.HttpStream;

/**
 * Sends one request to one target, checks that the response belongs to the request and is verified,
 * and keeps the target's load up to date. Owned by the traffic thread.
 */
final class TargetAttempt implements HttpListener {
    private static final Logger LOG = Logger.getLogger("tamaracktrack.requests");

    /** The largest response that is buffered before it is forwarded. */
    private static final int MAX_BUFFERED_BYTES = 16 * 1024 * 1024;

    /** A connection within a region opens in a few milliseconds; one lost packet costs a second. */
    private static final long CONNECT_TIMEOUT_MILLIS = 600;

    /**
     * A request that must not run twice is not sent on a connection that has been idle for longer.
     */
    private static final long MAX_IDLE_UNREPEATABLE_MILLIS = 400;

    private static final long MAX_IDLE_REPEATABLE_MILLIS = 8_000;

    /**
     * The attempt's own limit is this much later than the request's. If both were the same, the
     * order of the timers would decide between a timeout and a lost response.
     */
    private static final long DEADLINE_MARGIN_MILLIS = 500;

    private static final int FIRST_NON_SUCCESS_STATUS = 300;

    private static final String UNUSABLE_REASON = "unusable";

    /** Names of headers in lower case. */
    private static final String CONTENT_LENGTH = "content-length";

    private static final String TRANSFER_ENCODING = "transfer-encoding";
    private static final String CONTENT_TYPE = "content-type";

    private final GatewayContext context;
    private final TargetEntry entry;
    private final DispatchRequest dispatchRequest;
    private final String attemptId;
    private final AnswerKind.Expected expected;
    private final Listener listener;
    private final TargetLoad load;
    private final AnswerMemory memory = AnswerMemory.ofProcess();
    private final ByteArrayOutputStream bufferedBody = new ByteArrayOutputStream();
    private Optional<HttpStream> stream = Optional.empty();
    private Mode mode = Mode.NO_HEAD;
    private int status;
    private Map<String, String> headers = Map.of();
    private boolean ended;
    private boolean firstPieceRecorded;
    private long startedMillis;
    private int pendingPromptTokens;
    private long lastContactMillis;
    private boolean bytesReceived;
    private OptionalLong firstPieceMillis = OptionalLong.empty();
    private boolean established;
    private boolean withheld;
    private boolean sendingBegun;
    private Optional<Delivery> delivery = Optional.empty();
    private boolean answered;
    private long endedMillis;
    private boolean paused;
    private boolean sentToFreeSlot;

    private enum Mode {
        NO_HEAD,
        STREAMING,
        BUFFERING,
        FAILURE
    }

    /**
     * Receives the progress of an attempt; {@code onStreamEnd}, {@code onCompleteResponse} and
     * {@code onFailed} end it.
     */
    interface Listener {
        /** Called when a stream begins. */
        void onStreamBegin(int status, Map<String, String> headers);

        /** Called with bytes of the stream. */
        void onBytes(ByteBuffer bytes);

        /** Called when the stream has ended normally. */
        void onStreamEnd();

        /** Called with a complete response that is not a stream. */
        void onCompleteResponse(int status, Map<String, String> headers, byte[] body);

        /**
         * Called when the attempt has ended in any other way.
         *
         * @param end how it ended
         * @param failure the target's own failure response, if it sent one
         */
        void onFailed(AttemptEnd end, Optional<TargetFailure> failure);

        /**
         * Returns whether the configuration in force still allows the request. Called before bytes
         * are sent.
         */
        boolean isStillAllowed();

        /**
         * Asks for permission to send the request, right before its first byte.
         *
         * @return the send; empty if the request must not be sent
         */
        Optional<Delivery> tryBeginSending();

        /** Called right before bytes are sent. */
        void onSending();

        /** Called when the target has begun to answer. */
        void onAnswering();

        /** Called when the target has sent a part of an answer that is not a failure. */
        void onContact();

        /** Called when the target goes on writing the answer some time after it began. */
        void onEstablished();

        /**
         * Called when the connection to the target has broken; {@code onFailed} follows.
         *
         * @param broken the attempt
         * @param ran whether the target is known to have run the request
         */
        void onConnectionBroken(TargetAttempt broken, boolean ran);
    }

    /** A failure response of a target. */
    record TargetFailure(int status, Map<String, String> headers, byte[] body) {}

    private TargetAttempt(
            GatewayContext context,
            TargetEntry entry,
            DispatchRequest dispatchRequest,
            String attemptId,
            AnswerKind.Expected expected,
            Listener listener) {
        this.context = context;
        this.entry = entry;
        this.dispatchRequest = dispatchRequest;
        this.attemptId = attemptId;
        this.expected = expected;
        this.listener = listener;
        this.load = context.loads().of(entry.incarnation());
    }

    /** The request to send to the target. */
    record OutgoingRequest(
            String method,
            String path,
            Map<String, String> headers,
            byte[] body,
            long remainingMillis,
            boolean repeatable) {}

    static TargetAttempt of(
            GatewayContext context,
            TargetEntry entry,
            DispatchRequest dispatchRequest,
            String attemptId,
            AnswerKind.Expected expected,
            Listener listener) {
        return new TargetAttempt(context, entry, dispatchRequest, attemptId, expected, listener);
    }

    /**
     * Sends the request. On a kept connection the listener may be told of its end before this
     * method returns.
     */
    void send(OutgoingRequest request) {
        startedMillis = context.nowMillis();
        lastContactMillis = startedMillis;
        pendingPromptTokens = load.pendingPromptTokens(startedMillis);
        sentToFreeSlot = load.outstanding(startedMillis) < entry.slots();
        load.recordSent(dispatchRequest.promptTokens(), startedMillis);
        context.notifyLoadsChanged();
        InetSocketAddress address =
                new InetSocketAddress(entry.address().ip(), entry.address().port());
        CallLimits limits =
                new CallLimits(
                        request.remainingMillis() + DEADLINE_MARGIN_MILLIS,
                        Math.min(CONNECT_TIMEOUT_MILLIS, request.remainingMillis()),
                        request.repeatable()
                                ? MAX_IDLE_REPEATABLE_MILLIS
                                : MAX_IDLE_UNREPEATABLE_MILLIS,
                        context.connectionShare(entry));
        HttpCall call =
                new HttpCall(
                        address,
                        request.method(),
                        request.path(),
                        request.headers(),
                        request.body(),
                        limits);
        stream = Optional.of(context.http().stream(call, this::maySend, this));
    }

    // The target may have announced that it leaves while the connection was opened, and this daemon
    // may have been delayed since the target was selected.
    private boolean maySend() {
        if (ended) {
            return false;
        }
        withheld = !listener.isStillAllowed() || (sendingBegun ? mustStop() : mustNotBegin());
        if (withheld && sendingBegun) {
            LOG.info("event=send-stopped request=" + attemptId + " target=" + entry.incarnation());
            context.metrics().recordStoppedSend();
        }
        sendingBegun = true;
        if (!withheld) {
            listener.onSending();
        }
        return !withheld;
    }

    private boolean mustStop() {
        return context.gate().isClosed();
    }

    private boolean mustNotBegin() {
        if (!context.maySendTo(entry)) {
            return true;
        }
        delivery = listener.tryBeginSending();
        if (delivery.isEmpty()) {
            return true;
        }
        context.restingTargets().recordSent(entry);
        return false;
    }

    /** Returns whether bytes of the request may have reached the target. */
    boolean mayHaveBeenSent() {
        return sendingBegun && !withheld;
    }

    TargetEntry entry() {
        return entry;
    }

    /** Returns whether the target rejects a request for a stream. */
    boolean isRejectionOfStream() {
        return mode == Mode.BUFFERING && !(expected instanceof AnswerKind.Expected.Whole);
    }

    /** Returns whether the head of the answer states success. */
    boolean isSuccess() {
        return mode != Mode.NO_HEAD && status < FIRST_NON_SUCCESS_STATUS;
    }

    /** Returns whether only the end of the connection shows the end of the answer. */
    boolean endsWithConnection() {
        return !headers.containsKey(CONTENT_LENGTH) && !headers.containsKey(TRANSFER_ENCODING);
    }

    /** Returns how far the answer has come. */
    AnswerProgress progress() {
        if (mode == Mode.NO_HEAD) {
            return AnswerProgress.NONE;
        }
        if (firstPieceMillis.isEmpty()) {
            return AnswerProgress.STARTED;
        }
        return established ? AnswerProgress.ESTABLISHED : AnswerProgress.WRITING;
    }

    void pause() {
        paused = true;
        stream.ifPresent(HttpStream::pause);
    }

    void resume() {
        paused = false;
        lastContactMillis = context.nowMillis();
        stream.ifPresent(HttpStream::resume);
    }

    /** Ends the attempt; the closed connection tells the target to stop. */
    void cancel() {
        if (end()) {
            close(delivery.filter(Delivery::isCounted).isPresent());
        }
    }

    private void close(boolean awaitTarget) {
        stream.ifPresent(awaitTarget && !answered ? HttpStream::abandon : HttpStream::cancel);
    }

    private boolean end() {
        if (ended) {
            return false;
        }
        ended = true;
        endedMillis = context.nowMillis();
        if (!firstPieceRecorded) {
            firstPieceRecorded = true;
            load.removeUnanswered(dispatchRequest.promptTokens(), startedMillis);
        }
        memory.release(bufferedBody.size());
        load.recordEnd();
        context.notifyLoadsChanged();
        return true;
    }

    private void recordFirstPiece() {
        if (!firstPieceRecorded) {
            firstPieceRecorded = true;
            load.recordFirstPiece(
                    dispatchRequest.promptTokens(),
                    startedMillis,
                    pendingPromptTokens,
                    context.nowMillis());
            context.notifyLoadsChanged();
        }
    }

    /**
     * Returns the time since this attempt or any other at the target last received something, in
     * milliseconds. While nothing is read from the target, because the caller reads slowly, the
     * target is not silent.
     */
    long silentMillis(long nowMillis) {
        return paused
                ? 0
                : Math.min(nowMillis - lastContactMillis, load.millisSinceContact(nowMillis));
    }

    /** Records that the target is silent, so that requests are sent to others. */
    void recordSilence() {
        load.recordSilence(context.nowMillis());
    }

    /** Ends the attempt because another target has answered while this one was silent. */
    void leave() {
        load.recordOutcome(true, context.nowMillis());
        cancel();
    }

    /** Abandons the attempt because its target has ended; the request may have run. */
    void abandon() {
        load.recordConnectionFailure(context.nowMillis());
        failAndClose(AttemptEnd.LOST);
    }

    private void recordStreamEvent() {
        long nowMillis = context.nowMillis();
        if (mode == Mode.STREAMING && bytesReceived) {
            load.recordStreamEvent(nowMillis - lastContactMillis, nowMillis);
        }
        bytesReceived = true;
    }

    /** Records that a whole event, or a part of an answer that is not a stream, was received. */
    void recordPiece() {
        long nowMillis = context.nowMillis();
        if (firstPieceMillis.isEmpty()) {
            firstPieceMillis = OptionalLong.of(nowMillis);
        } else if (!established
                && nowMillis - firstPieceMillis.getAsLong() >= AnswerProgress.ESTABLISHED_MILLIS) {
            established = true;
            listener.onEstablished();
        }
    }

    private void recordContact() {
        lastContactMillis = context.nowMillis();
        load.recordContact(lastContactMillis);
        load.recordActivity(context.earliestSentMillis(lastContactMillis));
    }

    @Override
    public void onHead(int responseStatus, Map<String, String> responseHeaders) {
        if (ended) {
            return;
        }
        recordContact();
        context.linkCheck().recordAnswer(startedMillis);
        ResponseMetadata metadata =
                context.protocol().parseResponse(responseStatus, responseHeaders);
        metadata.restMillis()
                .ifPresent(restMillis -> context.restingTargets().recordRest(entry, restMillis));
        // A late or extra response on a kept connection belongs to another request, and must not be
        // forwarded to this caller. The attempt id in the response shows this.
        if (!metadata.attempt().map(attemptId::equals).orElse(metadata.notRun())) {
            failAndClose(AttemptEnd.LOST);
            return;
        }
        answered = true;
        listener.onAnswering();
        if (metadata.leaving()) {
            context.recordLeaving(entry.incarnation());
        }
        if (metadata.restMillis().isEmpty()) {
            context.restingTargets().recordAnswer(entry);
        }
        metadata.load().ifPresent(this::recordReport);
        if (metadata.closesConnection()) {
            context.recordClosing(entry.incarnation().target());
        }
        status = responseStatus;
        headers = responseHeaders;
        AnswerKind.Head head =
                new AnswerKind.Head(
                        status,
                        metadata.notRun(),
                        metadata.verified(),
                        Optional.ofNullable(headers.get(CONTENT_TYPE)));
        AnswerKind kind = AnswerKind.of(head, expected);
        switch (kind) {
            case NOT_RUN -> failAndClose(AttemptEnd.REFUSED);
            case UNUSABLE -> {
                recordUnusable(head);
                failAndClose(AttemptEnd.LOST);
            }
            default -> accept(kind);
        }
    }

    private void recordUnusable(AnswerKind.Head head) {
        LOG.warn(
                "event=answer-unusable request="
                        + attemptId
                        + " target="
                        + entry.incarnation()
                        + " status="
                        + head.status()
                        + " verified="
                        + head.verified());
        context.metrics().recordRejectedAnswer(UNUSABLE_REASON);
    }

    private void recordReport(ReportedLoad report) {
        load.recordReport(report, lastContactMillis);
        report.workTime()
                .ifPresent(
                        workTime ->
                                context.metrics()
                                        .recordWorkFactor(entry.service(), workTime.factor()));
    }

    private void recordCompleteAnswer(long nowMillis) {
        load.recordCompleteAnswer(nowMillis - startedMillis);
        if (sentToFreeSlot) {
            load.recordUnqueuedAnswer(nowMillis - startedMillis, nowMillis);
        }
    }

    private void accept(AnswerKind kind) {
        recordFirstPiece();
        load.recordCachedParts(TargetSelector.cacheScope(dispatchRequest), dispatchRequest.parts());
        if (kind == AnswerKind.FAILURE) {
            mode = Mode.FAILURE;
        } else if (kind == AnswerKind.STREAM) {
            mode = Mode.STREAMING;
            listener.onContact();
            listener.onStreamBegin(status, headers);
        } else {
            mode = Mode.BUFFERING;
            listener.onContact();
        }
    }

    @Override
    public void onBytes(byte[] bytes) {
        if (ended) {
            return;
        }
        recordStreamEvent();
        recordContact();
        if (mode != Mode.FAILURE) {
            listener.onContact();
        }
        if (mode == Mode.STREAMING) {
            listener.onBytes(ByteBuffer.wrap(bytes));
            return;
        }
        recordPiece();
        if (bufferedBody.size() + bytes.length > MAX_BUFFERED_BYTES) {
            reject(AnswerRejection.Reason.BODY_BYTES);
        } else if (!memory.tryReserve(bytes.length)) {
            reject(AnswerRejection.Reason.BUFFERED_BYTES);
        } else {
            bufferedBody.writeBytes(bytes);
        }
    }

    private void reject(AnswerRejection.Reason reason) {
        InetSocketAddress address =
                new InetSocketAddress(entry.address().ip(), entry.address().port());
        onRejected(new AnswerRejection(address, reason, bufferedBody.size()));
        failAndClose(AttemptEnd.CUT);
    }

    @Override
    public void onRejected(AnswerRejection rejection) {
        if (ended) {
            return;
        }
        LOG.warn(
                "event=answer-rejected request="
                        + attemptId
                        + " target="
                        + entry.incarnation()
                        + " reason="
                        + rejection.reason().text()
                        + " bytes="
                        + rejection.bytes());
        context.metrics().recordRejectedAnswer(rejection.reason().text());
    }

    @Override
    public void onEnd() {
        if (endsWithConnection() && mode == Mode.STREAMING && firstPieceMillis.isEmpty()) {
            // A target that crashes before the first event ends the connection just like this.
            onFailure(HttpFailure.ANSWER_CUT);
            return;
        }
        if (!end()) {
            return;
        }
        load.recordOutcome(mode == Mode.FAILURE, context.nowMillis());
        if (mode != Mode.FAILURE) {
            recordCompleteAnswer(context.nowMillis());
        }
        switch (mode) {
            case STREAMING -> listener.onStreamEnd();
            case FAILURE ->
                    notifyFailed(
                            AttemptEnd.FAILED,
                            Optional.of(
                                    new TargetFailure(
                                            status, headers, bufferedBody.toByteArray())));
            default -> listener.onCompleteResponse(status, headers, bufferedBody.toByteArray());
        }
    }

    @Override
    public void onFailure(HttpFailure failure) {
        if (!end()) {
            return;
        }
        if (withheld && failure == HttpFailure.NOT_SENT) {
            notifyFailed(AttemptEnd.WITHHELD, Optional.empty());
            return;
        }
        if (withheld) {
            // A part of a request is not run, whenever it is read.
            delivery.ifPresent(stopped -> stopped.recordAnswer(context.nowMillis()));
        }
        AttemptEnd kind = kind(failure);
        if (kind == AttemptEnd.NOT_SENT) {
            load.recordConnectionFailure(context.nowMillis());
        } else if (!withheld) {
            load.recordOutcome(true, context.nowMillis());
        }
        if (brokenByTarget(failure)) {
            listener.onConnectionBroken(this, hasRun());
        }
        notifyFailed(kind, Optional.empty());
    }

    @Override
    public void onServerEnd() {
        delivery.filter(unanswered -> !answered).ifPresent(this::recordServerEnd);
    }

    private void recordServerEnd(Delivery unanswered) {
        long nowMillis = context.nowMillis();
        unanswered.recordEnd(nowMillis);
        context.metrics().recordEndedSend(entry.service());
        LOG.info(
                "event=unanswered-send-ended request="
                        + attemptId
                        + " service="
                        + entry.service()
                        + " target="
                        + entry.incarnation()
                        + " closed_ms_ago="
                        + (nowMillis - endedMillis));
    }

    private boolean brokenByTarget(HttpFailure failure) {
        return !withheld && (failure == HttpFailure.NO_ANSWER || failure == HttpFailure.ANSWER_CUT);
    }

    // An engine responds from the first token on, so a request without a response may still have
    // been queued. A plain service responds at the end and hardly queues requests.
    private boolean hasRun() {
        return dispatchRequest.need().isEmpty() || mode != Mode.NO_HEAD;
    }

    private AttemptEnd kind(HttpFailure failure) {
        return switch (failure) {
            case NOT_SENT -> AttemptEnd.NOT_SENT;
            case ANSWER_CUT -> AttemptEnd.CUT;
            case ANSWER_INVALID -> mode == Mode.NO_HEAD ? AttemptEnd.LOST : AttemptEnd.CUT;
            default -> AttemptEnd.LOST;
        };
    }

    // The connection carried something that is not this request's response, or a refusal whose body
    // is not read, so it is not used again.
    private void failAndClose(AttemptEnd kind) {
        if (end()) {
            close(true);
            if (kind != AttemptEnd.REFUSED) {
                load.recordOutcome(true, context.nowMillis());
            }
            notifyFailed(kind, Optional.empty());
        }
    }

    private void notifyFailed(AttemptEnd kind, Optional<TargetFailure> failure) {
        context.metrics().recordAttemptEnd(kind.name());
        listener.onFailed(kind, failure);
    }
}
