package org.tamaracktrack.link.topic;

import java.util.Objects;

/**
 * One partition of a topic.
 *
 * @param topic the topic
 * @param part the partition's number
 */
public record TopicPart(String topic, int part) {

    /** Checks the arguments. */
    public TopicPart {
        Objects.requireNonNull(topic, "topic is null");
    }
}
