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
import org.tamaracktrack.link.http.HttpCall;
import org.tamaracktrack.link.http.HttpCallException;
import org.tamaracktrack.link.http.HttpCaller;
import org.tamaracktrack.link.http.HttpFailure;
import org.tamaracktrack.link.http.HttpResponse;

/**
 * A client of the platform's log over HTTP, with the protocol described in {@code
 * docs/PLATFORM.md}.
 */
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
     * @param http makes the HTTP calls
     * @param address the address of the log service
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
        HttpResponse response;
        try {
            response = http.call(HttpCall.post(address, path, body, TIMEOUT_MILLIS));
        } catch (HttpCallException failure) {
            throw TamaracktrackException.of(
                    appendErrorCode(failure), "could not append to the log", failure);
        }
        if (response.status() == OK) {
            return decodeAppended(response);
        }
        throw TamaracktrackException.of(
                appendErrorCode(response.status()),
                "the log responded with status " + response.status());
    }

    private static Appended decodeAppended(HttpResponse response) {
        try {
            return Codecs.decode(Codecs.json(), response.body(), Appended.class);
        } catch (TamaracktrackException failure) {
            throw TamaracktrackException.of(
                    ErrorCode.LOG_OUTCOME_UNKNOWN,
                    "the response of the log can't be decoded",
                    failure);
        }
    }

    // A response may be lost after the append took effect. A writer that took this for "not
    // written" would append the entry again and its effect would be doubled, so the outcome of
    // every append that may have reached the log counts as unknown.
    private static ErrorCode appendErrorCode(HttpCallException failure) {
        return failure.failure() == HttpFailure.NOT_SENT
                ? ErrorCode.LOG_UNAVAILABLE
                : ErrorCode.LOG_OUTCOME_UNKNOWN;
    }

    private static ErrorCode appendErrorCode(int status) {
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
        HttpResponse response;
        try {
            response = http.call(HttpCall.get(address, path, waitMillis + TIMEOUT_MILLIS));
        } catch (HttpCallException failure) {
            throw TamaracktrackException.of(
                    ErrorCode.LOG_UNAVAILABLE, "could not read from the log", failure);
        }
        if (response.status() != OK) {
            throw TamaracktrackException.of(
                    ErrorCode.LOG_UNAVAILABLE,
                    "the log responded with status " + response.status());
        }
        return decodeBatch(response);
    }

    private static Batch decodeBatch(HttpResponse response) {
        try {
            return batch(Codecs.decode(Codecs.json(), response.body(), ReadAnswer.class));
        } catch (TamaracktrackException failure) {
            throw TamaracktrackException.of(
                    ErrorCode.LOG_UNAVAILABLE, "the response of the log can't be decoded", failure);
        }
    }

    private static Batch batch(ReadAnswer page) {
        List<LogRecord> records = new ArrayList<>();
        List<Long> undecodable = new ArrayList<>();
        page.records()
                .forEach(
                        raw ->
                                decode(raw)
                                        .ifPresentOrElse(
                                                records::add, () -> undecodable.add(raw.offset())));
        return new Batch(page.firstOffset(), page.nextOffset(), records, undecodable);
    }

    // A record written by a newer release, or a damaged one, must not block a reader permanently.
    // It is skipped and its offset reported, so that the reader knows which record is missing.
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
