package org.tamaracktrack.daemon.gateway;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.Map;
import java.util.Optional;
import org.tamaracktrack.core.dispatch.AttemptEnd;
import org.tamaracktrack.core.dispatch.Delivery;
import org.tamaracktrack.core.stream.EventSplitter;

/**
 * An attempt that is made while the target of the current attempt is silent. It takes over with the
 * first whole event of its stream, or with its complete answer, unless the silent target sends
 * something before. Used on the traffic thread.
 */
final class HedgedAttempt implements TargetAttempt.Listener {
    /**
     * Longest time for which both targets may work on a stream. A target sends the head of its
     * answer with the first token, and whole events shortly after.
     */
    private static final long MAX_OVERLAP_MILLIS = 300;

    private final Owner owner;
    private final GatewayContext context;
    private final RetryProgress progress;
    private final EventSplitter events = EventSplitter.empty();
    private final ByteArrayOutputStream received = new ByteArrayOutputStream();
    private Optional<TargetAttempt> attempt = Optional.empty();
    private int streamStatus;
    private Map<String, String> streamHeaders = Map.of();
    private State state = State.PENDING;

    private enum State {
        PENDING,
        TAKEN_OVER,
        ENDED
    }

    /** The request that has both attempts. */
    interface Owner extends TargetAttempt.Listener {
        /** Called when the target has answered; the attempt becomes the current one. */
        void onHedgeAnswered(HedgedAttempt hedge);

        /**
         * Called when the attempt has ended without an answer that can be used.
         *
         * @param hedge the attempt
         * @param end how it ended
         * @param failure the target's own failure response, if it sent one
         */
        void onHedgeFailed(
                HedgedAttempt hedge, AttemptEnd end, Optional<TargetAttempt.TargetFailure> failure);
    }

    private HedgedAttempt(Owner owner, GatewayContext context, RetryProgress progress) {
        this.owner = owner;
        this.context = context;
        this.progress = progress;
    }

    static HedgedAttempt of(Owner owner, GatewayContext context, RetryProgress progress) {
        return new HedgedAttempt(owner, context, progress);
    }

    /** Sends the request; the owner may be told of the end before this method returns. */
    void send(TargetAttempt started, TargetAttempt.OutgoingRequest request) {
        attempt = Optional.of(started);
        started.send(request);
    }

    TargetAttempt attempt() {
        return attempt.orElseThrow();
    }

    RetryProgress progress() {
        return progress;
    }

    /** Makes this the current attempt, whose further progress the owner receives. */
    void takeOver() {
        state = State.TAKEN_OVER;
        if (!streamHeaders.isEmpty()) {
            owner.onStreamBegin(streamStatus, streamHeaders);
        }
        if (received.size() > 0) {
            owner.onBytes(ByteBuffer.wrap(received.toByteArray()));
        }
    }

    /** Ends the attempt. */
    void cancel() {
        state = State.ENDED;
        attempt().cancel();
        progress.recordEnd();
    }

    private void fail(AttemptEnd end, Optional<TargetAttempt.TargetFailure> failure) {
        state = State.ENDED;
        progress.recordEnd();
        owner.onHedgeFailed(this, end, failure);
    }

    private void answerIfPending() {
        if (state == State.PENDING) {
            owner.onHedgeAnswered(this);
        }
    }

    @Override
    public void onStreamBegin(int status, Map<String, String> headers) {
        if (state == State.TAKEN_OVER) {
            owner.onStreamBegin(status, headers);
        } else {
            streamStatus = status;
            streamHeaders = headers;
            context.after(MAX_OVERLAP_MILLIS, this::answerIfPending);
        }
    }

    @Override
    public void onBytes(ByteBuffer bytes) {
        if (state == State.TAKEN_OVER) {
            owner.onBytes(bytes);
            return;
        }
        byte[] copy = new byte[bytes.remaining()];
        bytes.get(copy);
        received.writeBytes(copy);
        if (events.split(ByteBuffer.wrap(copy)).length > 0 || events.exceedsPendingLimit()) {
            answerIfPending();
        }
    }

    @Override
    public void onStreamEnd() {
        if (state == State.PENDING && received.size() > 0) {
            fail(AttemptEnd.CUT, Optional.empty());
            return;
        }
        answerIfPending();
        owner.onStreamEnd();
    }

    @Override
    public void onCompleteResponse(int status, Map<String, String> headers, byte[] body) {
        if (state == State.PENDING && attempt().isRejectionOfStream()) {
            // The silent target may still bring the stream.
            TargetAttempt.TargetFailure rejection =
                    new TargetAttempt.TargetFailure(status, headers, body);
            fail(AttemptEnd.FAILED, Optional.of(rejection));
            return;
        }
        answerIfPending();
        owner.onCompleteResponse(status, headers, body);
    }

    @Override
    public void onFailed(AttemptEnd end, Optional<TargetAttempt.TargetFailure> failure) {
        if (state == State.TAKEN_OVER) {
            owner.onFailed(end, failure);
        } else {
            fail(end, failure);
        }
    }

    @Override
    public boolean isStillAllowed() {
        return owner.isStillAllowed();
    }

    @Override
    public Optional<Delivery> tryBeginSending() {
        return context.stop().refusesRetries()
                ? Optional.empty()
                : progress.tryBeginSending(attempt().entry());
    }

    @Override
    public void onSending() {
        owner.onSending();
    }

    @Override
    public void onAnswering() {
        progress.recordAnswer();
    }

    @Override
    public void onContact() {
        if (state == State.TAKEN_OVER) {
            owner.onContact();
        }
    }

    @Override
    public void onEstablished() {
        if (state == State.TAKEN_OVER) {
            owner.onEstablished();
        }
    }

    @Override
    public void onConnectionBroken(TargetAttempt broken, boolean ran) {
        owner.onConnectionBroken(broken, ran);
    }
}
