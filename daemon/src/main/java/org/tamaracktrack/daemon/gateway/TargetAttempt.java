package org.tamaracktrack.daemon.gateway;

import java.io.ByteArrayOutputStream;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.Map;
import java.util.Optional;
import org.tamaracktrack.core.dispatch.AttemptEnd;
import org.tamaracktrack.core.dispatch.DispatchRequest;
import org.tamaracktrack.core.dispatch.TargetLoad;
import org.tamaracktrack.core.dispatch.TargetSelector;
import org.tamaracktrack.core.fleet.TargetEntry;
import org.tamaracktrack.link.http.CallLimits;
import org.tamaracktrack.link.http.HttpCall;
import org.tamaracktrack.link.http.HttpFailure;
import org.tamaracktrack.link.http.HttpListener;
import org.tamaracktrack.link.http.HttpStream;

/**
 * One request at one target: sends it, checks that the answer is its own and proven, and keeps the
 * target's load up to date. Owned by the traffic thread.
 */
final class TargetAttempt implements HttpListener {
    /** The largest answer that is gathered before it is passed on. */
    private static final int MOST_GATHERED_BYTES = 16 * 1024 * 1024;

    /** A connection within a region opens in a few milliseconds; one lost packet costs a second. */
    private static final long CONNECT_MILLIS = 600;

    /** A request that must not run twice is not risked on a connection that is older. */
    private static final long FRESH_MILLIS = 400;

    private static final long KEPT_MILLIS = 8_000;

    /**
     * The attempt's own limit lies this much after the request's. Were it the same, whichever timer
     * came first would decide between a timeout and a lost answer.
     */
    private static final long BEYOND_MILLIS = 500;

    private static final int FIRST_FAILURE_STATUS = 500;
    private static final int MISDIRECTED_STATUS = 421;

    private final GatewayServices services;
    private final TargetEntry entry;
    private final DispatchRequest work;
    private final String attempt;
    private final boolean streamed;
    private final Listener listener;
    private final TargetLoad load;
    private final ByteArrayOutputStream gathered = new ByteArrayOutputStream();
    private Optional<HttpStream> stream = Optional.empty();
    private Mode mode = Mode.NO_HEAD;
    private int status;
    private Map<String, String> headers = Map.of();
    private boolean ended;
    private boolean read;
    private long startedMillis;
    private int aheadTokens;
    private long heardMillis;
    private boolean streaming;
    private boolean withheld;
    private boolean begun;

    private enum Mode {
        NO_HEAD,
        STREAMING,
        GATHERING,
        FAILING
    }

    /** Hears of an attempt; {@code onWhole} and {@code onFailed} end it. */
    interface Listener {
        /** A stream begins. */
        void onStream(int status, Map<String, String> headers);

        /** Bytes of the stream. */
        void onBytes(ByteBuffer bytes);

        /** The stream ended as it should. */
        void onStreamEnd();

        /** The whole answer, which is not a stream. */
        void onWhole(int status, Map<String, String> headers, byte[] body);

        /**
         * The attempt ended otherwise.
         *
         * @param end how
         * @param failure the target's own failure, if it sent one
         */
        void onFailed(AttemptEnd end, Optional<TargetFailure> failure);

        /** Its first byte is about to leave. */
        void onSending();

        /**
         * The connection to the target broke; {@code onFailed} follows.
         *
         * @param ran whether the target is known to have run the request
         */
        void onTargetBroken(boolean ran);
    }

    /** A failure that a target answered. */
    record TargetFailure(int status, Map<String, String> headers, byte[] body) {}

    private TargetAttempt(
            GatewayServices services,
            TargetEntry entry,
            DispatchRequest work,
            String attempt,
            boolean streamed,
            Listener listener) {
        this.services = services;
        this.entry = entry;
        this.work = work;
        this.attempt = attempt;
        this.streamed = streamed;
        this.listener = listener;
        this.load = services.loads().of(entry.incarnation());
    }

    /** What is sent. */
    record Sending(
            String method,
            String path,
            Map<String, String> headers,
            byte[] body,
            long leftMillis,
            boolean repeatable) {}

    static TargetAttempt of(
            GatewayServices services,
            TargetEntry entry,
            DispatchRequest work,
            String attempt,
            boolean streamed,
            Listener listener) {
        return new TargetAttempt(services, entry, work, attempt, streamed, listener);
    }

    /** Sends it; on a kept connection the listener may hear of its end before this returns. */
    void send(Sending sending) {
        startedMillis = services.nowMillis();
        heardMillis = startedMillis;
        aheadTokens = load.pendingPromptTokens(startedMillis);
        load.recordSent(work.promptTokens(), startedMillis);
        services.loadsChanged();
        InetSocketAddress address =
                new InetSocketAddress(entry.address().ip(), entry.address().port());
        CallLimits limits =
                new CallLimits(
                        sending.leftMillis() + BEYOND_MILLIS,
                        Math.min(CONNECT_MILLIS, sending.leftMillis()),
                        sending.repeatable() ? KEPT_MILLIS : FRESH_MILLIS);
        HttpCall call =
                new HttpCall(
                        address,
                        sending.method(),
                        sending.path(),
                        sending.headers(),
                        sending.body(),
                        limits);
        stream = Optional.of(services.http().stream(call, this::maySend, this));
    }

    // The target may have said that it leaves while a connection was opened, and this daemon may
    // have been held up since it chose.
    private boolean maySend() {
        if (ended) {
            return false;
        }
        withheld = begun ? services.gate().closed() : !services.mayReach(entry.incarnation());
        begun = true;
        if (!withheld) {
            listener.onSending();
        }
        return !withheld;
    }

    TargetEntry entry() {
        return entry;
    }

    void pause() {
        stream.ifPresent(HttpStream::pause);
    }

    void resume() {
        stream.ifPresent(HttpStream::resume);
    }

    /** Ends the attempt; the closed connection tells the target to stop. */
    void cancel() {
        if (end()) {
            stream.ifPresent(HttpStream::cancel);
        }
    }

    private boolean end() {
        if (ended) {
            return false;
        }
        ended = true;
        if (!read) {
            read = true;
            load.removeUnanswered(work.promptTokens(), startedMillis);
        }
        load.recordEnd();
        services.loadsChanged();
        return true;
    }

    private void noteRead() {
        if (!read) {
            read = true;
            load.recordFirstPiece(
                    work.promptTokens(), startedMillis, aheadTokens, services.nowMillis());
            services.loadsChanged();
        }
    }

    /** How long neither this attempt nor any other at the target has heard of it. */
    long silentMillis(long nowMillis) {
        return Math.min(nowMillis - heardMillis, load.millisSinceContact(nowMillis));
    }

    /** Gives the attempt up, since its target is silent; it may have run. */
    void giveUp() {
        load.recordConnectionFailure(services.nowMillis());
        failAndClose(AttemptEnd.LOST);
    }

    private void noteEvent() {
        if (mode == Mode.STREAMING && streaming) {
            long nowMillis = services.nowMillis();
            load.recordStreamEvent(nowMillis - heardMillis, nowMillis);
        }
        streaming = true;
    }

    private void noteHeard() {
        heardMillis = services.nowMillis();
        load.recordContact(heardMillis);
    }

    @Override
    public void onHead(int answerStatus, Map<String, String> answerHeaders) {
        if (ended) {
            return;
        }
        noteHeard();
        services.linkCheck().answered(startedMillis);
        AnswerFacts facts = services.dialect().answer(answerStatus, answerHeaders);
        // A late or extra answer on a kept connection belongs to another request. Passed on, a
        // caller would get what is not its own; the echoed name shows it.
        if (!facts.attempt().map(attempt::equals).orElse(facts.notRun())) {
            failAndClose(AttemptEnd.LOST);
            return;
        }
        facts.load().ifPresent(said -> load.recordReport(said, heardMillis));
        if (facts.closing()) {
            services.closing(entry.incarnation().target());
        }
        status = answerStatus;
        headers = answerHeaders;
        if (facts.notRun() || answerStatus == MISDIRECTED_STATUS) {
            failAndClose(AttemptEnd.REFUSED);
        } else if (!facts.proven()) {
            failAndClose(AttemptEnd.LOST);
        } else {
            accept(answerStatus);
        }
    }

    private void accept(int answerStatus) {
        noteRead();
        load.recordCachedParts(TargetSelector.cacheScope(work), work.parts());
        if (answerStatus >= FIRST_FAILURE_STATUS) {
            mode = Mode.FAILING;
        } else if (streamed) {
            mode = Mode.STREAMING;
            listener.onStream(status, headers);
        } else {
            mode = Mode.GATHERING;
        }
    }

    @Override
    public void onBytes(byte[] bytes) {
        if (ended) {
            return;
        }
        noteEvent();
        noteHeard();
        if (mode == Mode.STREAMING) {
            listener.onBytes(ByteBuffer.wrap(bytes));
            return;
        }
        gathered.writeBytes(bytes);
        if (gathered.size() > MOST_GATHERED_BYTES) {
            failAndClose(AttemptEnd.CUT);
        }
    }

    @Override
    public void onEnd() {
        if (!end()) {
            return;
        }
        load.recordOutcome(mode == Mode.FAILING, services.nowMillis());
        if (mode != Mode.FAILING) {
            load.recordCompleteAnswer(services.nowMillis() - startedMillis);
        }
        switch (mode) {
            case STREAMING -> listener.onStreamEnd();
            case FAILING ->
                    failed(
                            AttemptEnd.FAILED,
                            Optional.of(
                                    new TargetFailure(status, headers, gathered.toByteArray())));
            default -> listener.onWhole(status, headers, gathered.toByteArray());
        }
    }

    @Override
    public void onFailure(HttpFailure failure) {
        if (!end()) {
            return;
        }
        if (withheld && failure == HttpFailure.NOT_SENT) {
            failed(AttemptEnd.WITHHELD, Optional.empty());
            return;
        }
        AttemptEnd kind = kind(failure);
        if (kind == AttemptEnd.NOT_SENT) {
            load.recordConnectionFailure(services.nowMillis());
        } else if (!withheld) {
            load.recordOutcome(true, services.nowMillis());
        }
        if (brokenByTarget(failure)) {
            listener.onTargetBroken(hasRun());
        }
        failed(kind, Optional.empty());
    }

    private boolean brokenByTarget(HttpFailure failure) {
        return !withheld && (failure == HttpFailure.NO_ANSWER || failure == HttpFailure.ANSWER_CUT);
    }

    // An engine answers from the first token on, and a request without an answer may have waited.
    // A plain service answers at the end, and hardly lets requests wait.
    private boolean hasRun() {
        return work.need().isEmpty() || mode != Mode.NO_HEAD;
    }

    private static AttemptEnd kind(HttpFailure failure) {
        return switch (failure) {
            case NOT_SENT -> AttemptEnd.NOT_SENT;
            case ANSWER_CUT -> AttemptEnd.CUT;
            default -> AttemptEnd.LOST;
        };
    }

    // The connection showed something that is not this request's answer, or a refusal whose body
    // nobody reads: it is not used again.
    private void failAndClose(AttemptEnd kind) {
        if (end()) {
            stream.ifPresent(HttpStream::cancel);
            if (kind != AttemptEnd.REFUSED) {
                load.recordOutcome(true, services.nowMillis());
            }
            failed(kind, Optional.empty());
        }
    }

    private void failed(AttemptEnd kind, Optional<TargetFailure> failure) {
        services.metrics().attemptEnded(kind.name());
        listener.onFailed(kind, failure);
    }
}
