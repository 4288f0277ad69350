package org.tamaracktrack.core.stream;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.tamaracktrack.core.id.ServiceId;
import org.tamaracktrack.core.id.SoftwareVersion;

/** A message between two daemons about the origins of streams. Messages may be lost or late. */
public sealed interface OriginMessage {

    /**
     * The origin of one stream.
     *
     * @param attempt the attempt that brought the first event
     * @param origin where the stream began
     */
    record Begun(String attempt, StreamOrigin origin) {

        /** Checks the arguments. */
        public Begun {
            Objects.requireNonNull(attempt, "attempt is null");
            Objects.requireNonNull(origin, "origin is null");
        }
    }

    /**
     * A daemon states the origins of streams that it forwards.
     *
     * @param streams the streams
     */
    record Notice(List<Begun> streams) implements OriginMessage {

        /** Copies the list. */
        public Notice {
            streams = List.copyOf(streams);
        }
    }

    /**
     * A daemon asks for the origin of a stream.
     *
     * @param number identifies the question at its sender
     * @param attempt the attempt that brought the first event
     * @param service the service at which the stream is to be continued
     */
    record Question(long number, String attempt, ServiceId service) implements OriginMessage {

        /** Checks the arguments. */
        public Question {
            Objects.requireNonNull(attempt, "attempt is null");
            Objects.requireNonNull(service, "service is null");
        }
    }

    /**
     * The answer to a question.
     *
     * @param number the number of the question
     * @param origin the origin; empty when it is unknown
     * @param only the only recent version of the service that the sender knows; empty when there
     *     are several, or may have been
     */
    record Answer(long number, Optional<StreamOrigin> origin, Optional<SoftwareVersion> only)
            implements OriginMessage {

        /** Checks the arguments. */
        public Answer {
            Objects.requireNonNull(origin, "origin is null");
            Objects.requireNonNull(only, "only is null");
        }
    }
}
