package org.tamaracktrack.bench.load;

import java.util.List;
import java.util.Locale;
import java.util.Objects;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/** Every request of a run as comma-separated values. */
public final class RequestTable {
    private static final String HEADERS =
            "at_millis,account,model,adapter,class,outcome,code,first_byte_millis,total_millis";

    private RequestTable() {}

    /**
     * Returns the requests, one on each line.
     *
     * @param answered the requests and what their callers saw
     * @return the text
     */
    public static String csv(List<OpenLoad.Answered> answered) {
        Objects.requireNonNull(answered, "answered is null");
        return Stream.concat(Stream.of(HEADERS), answered.stream().map(RequestTable::line))
                .collect(Collectors.joining("\n", "", "\n"));
    }

    private static String line(OpenLoad.Answered request) {
        return String.format(
                Locale.ROOT,
                "%.0f,%s,%s,%s,%s,%s,%s,%.1f,%.1f",
                request.arrival().atMillis(),
                request.arrival().request().caller().account(),
                request.arrival().request().model(),
                request.arrival().request().adapter().orElse(""),
                request.arrival().request().requestClass(),
                request.seen().outcome(),
                request.seen().code(),
                request.firstByteMillis(),
                request.totalMillis());
    }
}
