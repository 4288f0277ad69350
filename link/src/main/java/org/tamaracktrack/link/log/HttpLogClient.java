package org.tamaracktrack.link.log;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.jboss.logging.Logger;
import org.tamaracktrack.core.error.ErrorCode;
import org.tamaracktrack.core.error.TamaracktrackException;
import org.tamaracktrack.core.log.LogEntry;
import org.tamaracktrack.core.log.LogRecord;
import org.tamaracktrack.core.log.LogStream;
import org.tamaracktrack.link.codec.Codecs;
import org.tamaracktrack.link.http.HttpAnswer;
import org.tamaracktrack.link.http.HttpCall;
import org.tamaracktrack.link.http.HttpCallException;
import org.tamaracktrack.link.http.HttpCaller;
import org.tamaracktrack.link.http.HttpFailure;

/** The platform's log over HTTP, as {@code docs/PLATFORM.md} describes it. */
public final class HttpLogClient implements LogClient {
    private static final Logger LOG = Logger.getLogger(HttpLogClient.class);
    private static final long TIMEOUT_MILLIS = 5_000;
    private static final int OK = 200;
    private static final int TOO_MANY_REQUESTS = 429;
    private static final int SERVICE_UNAVAILABLE = 503;

    private final HttpCaller http;
    private final InetSocketAddress address;

    private HttpLogClient(HttpCaller http, InetSocketAddress address) {
        this.http = http;
        this.address = address;
    }

    /**
     * Returns a client.
     *
     * @param http makes the calls
     * @param address the log service
     * @return the client
     */
    public static HttpLogClient of(HttpCaller http, InetSocketAddress address) {
        Objects.requireNonNull(http, "http is null");
        Objects.requireNonNull(address, "address is null");
        return new HttpLogClient(http, address);
    }

    @Override
    public Appended append(LogStream stream, LogEntry entry) {
        byte[] body = Codecs.encode(Codecs.json(), entry);
        String path = "/streams/" + stream.path() + "/records";
        HttpAnswer answer;
        try {
            answer = http.call(HttpCall.post(address, path, body, TIMEOUT_MILLIS));
        } catch (HttpCallException failure) {
            throw TamaracktrackException.of(appendCode(failure), "append failed", failure);
        }
        if (answer.status() == OK) {
            return decodeAppended(answer);
        }
        throw TamaracktrackException.of(
                appendCode(answer.status()), "the log answered " + answer.status());
    }

    private static Appended decodeAppended(HttpAnswer answer) {
        try {
            return Codecs.decode(Codecs.json(), answer.body(), Appended.class);
        } catch (TamaracktrackException failure) {
            throw TamaracktrackException.of(
                    ErrorCode.LOG_OUTCOME_UNKNOWN, "the log's answer is unreadable", failure);
        }
    }

    // An answer may be lost after the write took effect. Taken as "not written", the writer would
    // append again and act twice, so whatever may have reached the log counts as unknown.
    private static ErrorCode appendCode(HttpCallException failure) {
        return failure.failure() == HttpFailure.NOT_SENT
                ? ErrorCode.LOG_UNAVAILABLE
                : ErrorCode.LOG_OUTCOME_UNKNOWN;
    }

    private static ErrorCode appendCode(int status) {
        boolean certainlyNotWritten =
                status == TOO_MANY_REQUESTS
                        || status == SERVICE_UNAVAILABLE
                        || status >= 400 && status < 500;
        return certainlyNotWritten ? ErrorCode.LOG_UNAVAILABLE : ErrorCode.LOG_OUTCOME_UNKNOWN;
    }

    @Override
    public Batch read(LogStream stream, long from, int maximum, long waitMillis) {
        String path =
                "/streams/%s/records?from=%d&maximum=%d&waitMillis=%d"
                        .formatted(stream.path(), from, maximum, waitMillis);
        HttpAnswer answer;
        try {
            answer = http.call(HttpCall.get(address, path, waitMillis + TIMEOUT_MILLIS));
        } catch (HttpCallException failure) {
            throw TamaracktrackException.of(ErrorCode.LOG_UNAVAILABLE, "read failed", failure);
        }
        if (answer.status() != OK) {
            throw TamaracktrackException.of(
                    ErrorCode.LOG_UNAVAILABLE, "the log answered " + answer.status());
        }
        return decodeBatch(answer);
    }

    private static Batch decodeBatch(HttpAnswer answer) {
        try {
            return batch(Codecs.decode(Codecs.json(), answer.body(), ReadAnswer.class));
        } catch (TamaracktrackException failure) {
            throw TamaracktrackException.of(
                    ErrorCode.LOG_UNAVAILABLE, "the log's answer is unreadable", failure);
        }
    }

    private static Batch batch(ReadAnswer answer) {
        List<LogRecord> records = new ArrayList<>();
        List<Long> undecodable = new ArrayList<>();
        answer.records()
                .forEach(
                        raw ->
                                decode(raw)
                                        .ifPresentOrElse(
                                                records::add, () -> undecodable.add(raw.offset())));
        return new Batch(answer.firstOffset(), answer.nextOffset(), records, undecodable);
    }

    // A record of a newer release, or a damaged one, must not stop a reader for good; it is passed
    // over by number, so that the reader knows of the hole.
    private static Optional<LogRecord> decode(RawRecord raw) {
        try {
            byte[] body = raw.body().getBytes(StandardCharsets.UTF_8);
            LogEntry entry = Codecs.decode(Codecs.json(), body, LogEntry.class);
            return Optional.of(LogRecord.of(raw.offset(), raw.appendedAtMillis(), entry));
        } catch (TamaracktrackException failure) {
            LOG.warnf("event=record-undecodable offset=%d", raw.offset());
            return Optional.empty();
        }
    }

    private record ReadAnswer(
            @JsonProperty(required = true) long firstOffset,
            @JsonProperty(required = true) long nextOffset,
            @JsonProperty(required = true) List<RawRecord> records) {}

    private record RawRecord(long offset, long appendedAtMillis, String body) {}
}
