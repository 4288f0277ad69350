package org.tamaracktrack.core.routing;

import java.util.Arrays;
import java.util.Objects;
import org.tamaracktrack.core.error.ErrorCode;
import org.tamaracktrack.core.error.TamaracktrackException;

/** Lists the routing policies that a daemon may be started with. */
public enum RoutingKind {
    /** The better of two random candidates by estimated wait, with prefix affinity. */
    ESTIMATED_WAIT("estimated-wait"),
    /** Any candidate, at random; a baseline. */
    RANDOM("random"),
    /** The candidate with the fewest outstanding attempts; a baseline. */
    FEWEST_OUTSTANDING("fewest-outstanding");

    private final String text;

    RoutingKind(String text) {
        this.text = text;
    }

    /**
     * Returns the name of the policy in settings.
     *
     * @return the name
     */
    public String text() {
        return text;
    }

    /**
     * Returns the kind of a name in settings.
     *
     * @param text the name in settings
     * @return the kind
     * @throws TamaracktrackException with {@code INVALID_SETTINGS} when no policy has that name
     */
    public static RoutingKind of(String text) {
        Objects.requireNonNull(text, "text is null");
        return Arrays.stream(values())
                .filter(kind -> kind.text.equals(text))
                .findFirst()
                .orElseThrow(
                        () ->
                                TamaracktrackException.of(
                                        ErrorCode.INVALID_SETTINGS, "no routing policy: " + text));
    }

    /**
     * Returns the policy of this kind.
     *
     * @return the policy
     */
    public RoutingPolicy policy() {
        return switch (this) {
            case ESTIMATED_WAIT -> EstimatedWaitPolicy.of();
            case RANDOM -> RandomPolicy.of();
            case FEWEST_OUTSTANDING -> FewestOutstandingPolicy.of();
        };
    }
}
