package org.tamaracktrack.link.topic;

/**
 * What became of a call to a topic.
 *
 * @param <T> what a successful call returns
 */
public sealed interface TopicAnswer<T> {

    /**
     * The call succeeded.
     *
     * @param value what it returned
     */
    record Done<T>(T value) implements TopicAnswer<T> {}

    /**
     * The records asked for are no longer kept.
     *
     * @param first the oldest offset that is
     */
    record Expired<T>(long first) implements TopicAnswer<T> {}

    /**
     * The append's condition did not hold, so nothing was written.
     *
     * @param end the offset at which the partition ends
     */
    record Conflict<T>(long end) implements TopicAnswer<T> {}

    /**
     * Nothing was done.
     *
     * @param why a reason for the log
     * @param answered whether the store said so itself
     */
    record Unavailable<T>(String why, boolean answered) implements TopicAnswer<T> {}

    /**
     * No answer came: an append may have taken effect, or may still.
     *
     * @param why a reason for the log
     */
    record Unknown<T>(String why) implements TopicAnswer<T> {}
}
