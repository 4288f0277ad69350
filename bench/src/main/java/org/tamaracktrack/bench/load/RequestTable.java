package org.tamaracktrack.bench.load;

import java.util.List;
import java.util.Locale;
import java.util.Objects;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/** Formats all requests of a run as comma-separated values. */
public final class RequestTable {
    private static final String HEADERS =
            "at_millis,account,model,adapter,class,outcome,code,first_byte_millis,total_millis";

    private RequestTable() {}

    /**
     * Returns a header and one line for each request.
     *
     * @param sentRequests the requests and their results
     * @return the text
     */
    public static String csv(List<OpenLoopLoad.SentRequest> sentRequests) {
        Objects.requireNonNull(sentRequests, "answered is null");
        return Stream.concat(Stream.of(HEADERS), sentRequests.stream().map(RequestTable::line))
                .collect(Collectors.joining("\n", "", "\n"));
    }

    private static String line(OpenLoopLoad.SentRequest request) {
        return String.format(
                Locale.ROOT,
                "%.0f,%s,%s,%s,%s,%s,%s,%.1f,%.1f",
                request.arrival().atMillis(),
                request.arrival().request().caller().account(),
                request.arrival().request().model(),
                request.arrival().request().adapter().orElse(""),
                request.arrival().request().requestClass(),
                request.observation().outcome(),
                request.observation().code(),
                request.firstByteMillis(),
                request.totalMillis());
    }
}
