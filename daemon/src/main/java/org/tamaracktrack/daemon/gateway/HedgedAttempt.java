package org.tamaracktrack.daemon.gateway;

import java.nio.ByteBuffer;
import java.util.Map;
import java.util.Optional;
import org.tamaracktrack.core.dispatch.AttemptEnd;

/**
 * An attempt that is made while the target of the current attempt is silent. The request goes on
 * with whichever of the two targets sends a part of an answer first. Used on the traffic thread.
 */
final class HedgedAttempt implements TargetAttempt.Listener {
    private final Owner owner;
    private final RetryProgress progress;
    private Optional<TargetAttempt> attempt = Optional.empty();
    private boolean takenOver;

    /** The request that has both attempts. */
    interface Owner extends TargetAttempt.Listener {
        /** Called when the target has answered; from then on this is the current attempt. */
        void onHedgeAnswered(HedgedAttempt hedge);

        /** Called when the attempt has ended without an answer. */
        void onHedgeFailed(HedgedAttempt hedge, AttemptEnd end);
    }

    private HedgedAttempt(Owner owner, RetryProgress progress) {
        this.owner = owner;
        this.progress = progress;
    }

    static HedgedAttempt of(Owner owner, RetryProgress progress) {
        return new HedgedAttempt(owner, progress);
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
        takenOver = true;
    }

    /** Ends the attempt. */
    void cancel() {
        attempt().cancel();
        progress.recordEnd();
    }

    private void answered() {
        if (!takenOver) {
            owner.onHedgeAnswered(this);
        }
    }

    @Override
    public void onStreamBegin(int status, Map<String, String> headers) {
        if (!takenOver && !attempt().isSuccess()) {
            cancel();
            owner.onHedgeFailed(this, AttemptEnd.FAILED);
            return;
        }
        answered();
        owner.onStreamBegin(status, headers);
    }

    @Override
    public void onBytes(ByteBuffer bytes) {
        owner.onBytes(bytes);
    }

    @Override
    public void onStreamEnd() {
        owner.onStreamEnd();
    }

    @Override
    public void onCompleteResponse(int status, Map<String, String> headers, byte[] body) {
        answered();
        owner.onCompleteResponse(status, headers, body);
    }

    @Override
    public void onFailed(AttemptEnd end, Optional<TargetAttempt.TargetFailure> failure) {
        if (takenOver) {
            owner.onFailed(end, failure);
        } else {
            progress.recordEnd();
            owner.onHedgeFailed(this, end);
        }
    }

    @Override
    public boolean isStillAllowed() {
        return owner.isStillAllowed();
    }

    @Override
    public boolean tryBeginSending() {
        return progress.tryBeginSending(attempt().entry());
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
        if (takenOver) {
            owner.onContact();
        }
    }

    @Override
    public void onEstablished() {
        if (takenOver) {
            owner.onEstablished();
        }
    }

    @Override
    public void onConnectionBroken(TargetAttempt broken, boolean ran) {
        owner.onConnectionBroken(broken, ran);
    }
}
