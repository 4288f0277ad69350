package org.tamaracktrack.link.topic;

/**
 * The outcome of a call to a topic.
 *
 * @param <T> the type of the result of a successful call
 */
public sealed interface TopicAnswer<T> {

    /**
     * The call succeeded.
     *
     * @param value the result
     */
    record Done<T>(T value) implements TopicAnswer<T> {}

    /**
     * The requested records have expired.
     *
     * @param first the oldest offset that the partition still holds
     */
    record Expired<T>(long first) implements TopicAnswer<T> {}

    /**
     * The append's condition was not met, so nothing was written.
     *
     * @param end the offset at which the partition ends
     */
    record Conflict<T>(long end) implements TopicAnswer<T> {}

    /**
     * The store certainly did not execute the call.
     *
     * @param why the reason, for log lines
     * @param answered whether the store itself reported this
     */
    record Unavailable<T>(String why, boolean answered) implements TopicAnswer<T> {}

    /**
     * The call was not answered, or not in the era in which it was sent. An append may have taken
     * effect, or may still take effect.
     *
     * @param why the reason, for log lines
     */
    record Unknown<T>(String why) implements TopicAnswer<T> {}
}
