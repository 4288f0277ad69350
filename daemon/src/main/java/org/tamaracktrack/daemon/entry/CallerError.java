package org.tamaracktrack.daemon.entry;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.Objects;
import org.tamaracktrack.core.error.ErrorCode;
import org.tamaracktrack.core.error.Ran;
import org.tamaracktrack.core.error.TamaracktrackException;
import org.tamaracktrack.link.codec.Codecs;

/**
 * An error answer to a caller. All errors have this form.
 *
 * @param code the error
 * @param message a sentence for a human reader
 * @param ran whether the request ran
 * @param retryAfterMillis after how many milliseconds a retry makes sense, or -1
 */
record CallerError(ErrorCode code, String message, Ran ran, long retryAfterMillis) {
    private static final long DEFAULT_RETRY_AFTER_MILLIS = 1_000;

    CallerError {
        Objects.requireNonNull(code, "code is null");
        Objects.requireNonNull(message, "message is null");
        Objects.requireNonNull(ran, "ran is null");
    }

    static CallerError of(ErrorCode code, Ran ran, long retryAfterMillis) {
        long retryAfter =
                code.retryable() && retryAfterMillis < 0
                        ? DEFAULT_RETRY_AFTER_MILLIS
                        : retryAfterMillis;
        return new CallerError(code, defaultMessage(code), ran, retryAfter);
    }

    static CallerError of(ErrorCode code) {
        return of(code, code.ran(), -1);
    }

    static CallerError of(TamaracktrackException failure) {
        CallerError error = of(failure.code());
        String prefix = failure.code() + ": ";
        String message = failure.getMessage().replaceFirst("^" + prefix, "");
        return new CallerError(error.code, message, error.ran, error.retryAfterMillis);
    }

    private record Shape(@JsonProperty("error") Detail error) {}

    private record Detail(
            @JsonProperty("code") String code,
            @JsonProperty("message") String message,
            @JsonProperty("ran") Ran ran,
            @JsonProperty("retry_after_millis") Long retryAfterMillis) {}

    byte[] toJson() {
        Long retryAfter = retryAfterMillis < 0 ? null : Long.valueOf(retryAfterMillis);
        return Codecs.encode(
                Codecs.json(), new Shape(new Detail(code.name(), message, ran, retryAfter)));
    }

    private static String defaultMessage(ErrorCode code) {
        return switch (code) {
            case OVERLOADED -> "the queue of this class is full";
            case ACCOUNT_LIMIT -> "this account is over its rate or its share of requests at once";
            case CANNOT_MEET_CLASS -> "the request can't be served within its class now";
            case NO_TARGET -> "nothing that can serve this is reachable now";
            case MODEL_NOT_RESIDENT -> "the model is not in memory and can't be loaded in time";
            case LEAVING -> "this server is being stopped; another takes the request";
            case NOT_READY -> "this server has no configuration yet";
            case TARGET_UNREACHABLE -> "the connection to what serves this could not be opened";
            case DEADLINE_BEFORE_START -> "the time for the request passed before it was started";
            case DEADLINE_WHILE_RUNNING ->
                    "the time for the request passed; it may have run or may still end";
            case OUTCOME_UNKNOWN ->
                    "the connection broke after the request was sent; it may have run";
            case ANSWER_CUT -> "the request was run and its answer was lost on the way";
            case TARGET_ERROR -> "what serves this failed while it ran the request";
            case CLAIM_UNAVAILABLE -> "keys can't be claimed now; nothing was run";
            case KEY_IN_USE -> "a request with this key is in progress, or its outcome is unknown";
            case KEY_ALREADY_RAN -> "a request with this key was run; this one was not";
            case KEY_EXPIRED ->
                    "the key is older than keys are remembered; this call was not run, and whether"
                            + " an earlier one ran is not known";
            case KEY_REUSED -> "the key was used for another request; this one was not run";
            case BODY_TOO_LARGE -> "the body is larger than this server takes";
            case REQUEST_TOO_SLOW -> "the request did not arrive in time";
            case TOO_MANY_CONNECTIONS -> "too many connections are open";
            case NOT_FOUND -> "there is nothing at this path";
            case METHOD_NOT_ALLOWED -> "the path does not take this method";
            default -> code.name().toLowerCase(java.util.Locale.ROOT).replace('_', ' ');
        };
    }
}
