package org.tamaracktrack.core.knowledge;

import java.util.Objects;

/**
 * How far what a daemon knows of a part of the store reaches. Immutable.
 *
 * @param wholeAt everything that was written before this moment is known
 * @param awayAt when the read was asked that last showed the store to be away, by evidence that is
 *     not this daemon's own delay
 */
public record Knowledge(Moment wholeAt, Moment awayAt) {
    private static final Knowledge NONE = new Knowledge(Moment.never(), Moment.never());

    /** Checks the arguments. */
    public Knowledge {
        Objects.requireNonNull(wholeAt, "wholeAt is null");
        Objects.requireNonNull(awayAt, "awayAt is null");
    }

    /**
     * Returns the knowledge of a daemon that has read nothing yet.
     *
     * @return the knowledge
     */
    public static Knowledge none() {
        return NONE;
    }

    /**
     * Returns this knowledge after a read.
     *
     * @param moment everything that was written before this moment is known
     * @return the knowledge; unchanged if it reaches as far already
     */
    public Knowledge whole(Moment moment) {
        return moment.steadyMillis() > wholeAt.steadyMillis()
                ? new Knowledge(moment, awayAt)
                : this;
    }

    /**
     * Returns this knowledge after a read that failed since the store is away.
     *
     * @param asked when the read was asked
     * @return the knowledge; unchanged if a later read has failed already
     */
    public Knowledge away(Moment asked) {
        return asked.steadyMillis() > awayAt.steadyMillis() ? new Knowledge(wholeAt, asked) : this;
    }

    /**
     * Returns its age.
     *
     * @param now the moment of asking
     * @return milliseconds; huge when nothing is known
     */
    public long ageMillis(Moment now) {
        return now.since(wholeAt);
    }

    /**
     * Returns how long ago the store was last seen to be away.
     *
     * @param now the moment of asking
     * @return milliseconds; huge when it never was
     */
    public long awayAgeMillis(Moment now) {
        return now.since(awayAt);
    }
}
