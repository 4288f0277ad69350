package org.tamaracktrack.core.report;

import java.util.Arrays;
import java.util.Locale;
import java.util.Objects;
import java.util.Optional;
import org.tamaracktrack.core.error.ErrorCode;

/**
 * The outcome of a request, as counted in reports.
 *
 * @param kind the kind of outcome
 * @param code the reason for a refusal; present only for {@link Kind#REFUSED}
 */
public record RequestOutcome(Kind kind, Optional<ErrorCode> code) {
    /** A request arrived. Every request is counted once here and once under its final outcome. */
    public static final RequestOutcome OFFERED = new RequestOutcome(Kind.OFFERED, Optional.empty());

    /** Served within the objectives of its class. */
    public static final RequestOutcome IN_CLASS =
            new RequestOutcome(Kind.IN_CLASS, Optional.empty());

    /** Served, but later than its class allows. */
    public static final RequestOutcome LATE = new RequestOutcome(Kind.LATE, Optional.empty());

    /** The request may or may not have run. */
    public static final RequestOutcome UNKNOWN = new RequestOutcome(Kind.UNKNOWN, Optional.empty());

    /** The request ran and failed. */
    public static final RequestOutcome FAILED = new RequestOutcome(Kind.FAILED, Optional.empty());

    /** The caller closed the connection before the answer was complete. */
    public static final RequestOutcome CANCELLED =
            new RequestOutcome(Kind.CANCELLED, Optional.empty());

    private static final char CODE_SEPARATOR = ':';

    /** The kinds of outcome. */
    public enum Kind {
        OFFERED,
        IN_CLASS,
        LATE,
        REFUSED,
        UNKNOWN,
        FAILED,
        CANCELLED
    }

    /** Checks the arguments. */
    public RequestOutcome {
        Objects.requireNonNull(kind, "kind is null");
        Objects.requireNonNull(code, "code is null");
    }

    /**
     * Returns the outcome of a request that did not run.
     *
     * @param code the reason
     * @return the outcome
     */
    public static RequestOutcome refused(ErrorCode code) {
        return new RequestOutcome(Kind.REFUSED, Optional.of(code));
    }

    /**
     * Returns the outcome as it is written in counter names.
     *
     * @return the text, such as {@code in_class} or {@code refused:OVERLOADED}
     */
    public String text() {
        String name = kind.name().toLowerCase(Locale.ROOT);
        return code.map(reason -> name + CODE_SEPARATOR + reason.name()).orElse(name);
    }

    /**
     * Parses an outcome.
     *
     * @param text the text
     * @return the outcome; empty if the text is not an outcome
     */
    public static Optional<RequestOutcome> of(String text) {
        int separator = text.indexOf(CODE_SEPARATOR);
        if (separator < 0) {
            return Arrays.stream(Kind.values())
                    .filter(kind -> kind != Kind.REFUSED)
                    .map(kind -> new RequestOutcome(kind, Optional.empty()))
                    .filter(outcome -> outcome.text().equals(text))
                    .findFirst();
        }
        return Arrays.stream(ErrorCode.values())
                .map(RequestOutcome::refused)
                .filter(outcome -> outcome.text().equals(text))
                .findFirst();
    }
}
