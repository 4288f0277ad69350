package org.tamaracktrack.daemon.gateway;

import java.nio.ByteBuffer;
import java.util.Map;
import java.util.Optional;
import org.tamaracktrack.core.dispatch.AnswerKind;
import org.tamaracktrack.core.route.RouteKind;
import org.tamaracktrack.core.stream.EventSplitter;

/**
 * The stream that a caller receives, over all targets that write a part of it. Used on the traffic
 * thread.
 */
final class StreamProgress {
    private static final String CONTENT_TYPE = "content-type";

    private final RouteKind kind;
    private final GatewayResponse response;
    private final EventSplitter events = EventSplitter.empty();
    private int status;
    private Map<String, String> headers = Map.of();

    private StreamProgress(RouteKind kind, GatewayResponse response) {
        this.kind = kind;
        this.response = response;
    }

    /** Returns the progress of an answer of which nothing was received. */
    static StreamProgress of(RouteKind kind, GatewayResponse response) {
        return new StreamProgress(kind, response);
    }

    /** Returns the answer that the next target is expected to give. */
    AnswerKind.Expected expectedAnswer() {
        if (response.hasBegun()) {
            return new AnswerKind.Expected.Continuation(
                    Optional.ofNullable(headers.get(CONTENT_TYPE)));
        }
        return kind == RouteKind.STREAMING
                ? new AnswerKind.Expected.Stream()
                : new AnswerKind.Expected.Whole();
    }

    /** Records the head of a stream; the one that the caller has got stays in force. */
    void recordHead(int newStatus, Map<String, String> newHeaders) {
        if (!response.hasBegun()) {
            status = newStatus;
            headers = newHeaders;
        }
    }

    /** Forwards the head unless the caller has got one. */
    void begin() {
        if (!response.hasBegun()) {
            response.begin(status, headers);
        }
    }

    int status() {
        return status;
    }

    EventSplitter events() {
        return events;
    }

    /** Returns the bytes of the events that are whole now. */
    byte[] split(ByteBuffer bytes) {
        return events.split(bytes);
    }
}
