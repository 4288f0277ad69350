package org.tamaracktrack.cli.log;

import java.util.Objects;
import java.util.Optional;
import org.tamaracktrack.core.config.ConfigurationEvent;
import org.tamaracktrack.core.config.ConfigurationInForce;
import org.tamaracktrack.core.error.ErrorCode;
import org.tamaracktrack.core.error.TamaracktrackException;
import org.tamaracktrack.core.log.LogEntry.Publication;
import org.tamaracktrack.core.log.LogStream;
import org.tamaracktrack.link.log.LogClient;

/** Publishes a configuration and reads its outcome back from the log. */
public final class Publisher {
    private final LogClient log;
    private final ConfigurationLog configuration;
    private final RetryTimer timer;
    private boolean possiblyAppended;
    private boolean appendConfirmed;

    private Publisher(LogClient log, ConfigurationLog configuration, RetryTimer timer) {
        this.log = log;
        this.configuration = configuration;
        this.timer = timer;
    }

    /**
     * Returns a publisher.
     *
     * @param log the log
     * @param configuration the configuration stream, read to its end
     * @param timer limits the retries when the log is unavailable
     * @return the publisher
     */
    public static Publisher of(LogClient log, ConfigurationLog configuration, RetryTimer timer) {
        Objects.requireNonNull(log, "log is null");
        Objects.requireNonNull(configuration, "configuration is null");
        Objects.requireNonNull(timer, "timer is null");
        return new Publisher(log, configuration, timer);
    }

    /**
     * Appends a publication and reads its outcome back.
     *
     * @param publication the publication
     * @return the outcome, as read back from the log
     * @throws TamaracktrackException with {@code SUPERSEDED} if nothing was written because another
     *     version is in force; with {@code LOG_UNAVAILABLE} if nothing was written because the log
     *     is unavailable; with {@code LOG_OUTCOME_UNKNOWN} if the publication was or may have been
     *     written, but could not be read back
     */
    // The response to an append may be lost after the record was written. If the tool reported a
    // failure then, the operator would publish again and might revert the change of another
    // operator. The outcome is therefore always read from the log. All attempts have the same
    // identifier, and readers ignore all but the first record with an identifier.
    public ConfigurationEvent publish(Publication publication) {
        Objects.requireNonNull(publication, "publication is null");
        try {
            return appendUntilReadBack(publication);
        } catch (TamaracktrackException failure) {
            if (possiblyAppended && failure.code() == ErrorCode.LOG_UNAVAILABLE) {
                throw outcomeUnknown(publication, failure);
            }
            throw failure;
        }
    }

    private ConfigurationEvent appendUntilReadBack(Publication publication) {
        while (true) {
            configuration.readToEnd(timer);
            Optional<ConfigurationEvent> outcome = configuration.outcome(publication.publication());
            if (outcome.isPresent()) {
                return outcome.get();
            }
            if (!possiblyAppended) {
                checkBaseVersion(publication);
            }
            if (!appendConfirmed) {
                append(publication);
            } else if (!timer.awaitNextAttempt()) {
                throw outcomeUnknown(publication, null);
            }
        }
    }

    private void append(Publication publication) {
        try {
            log.append(LogStream.CONFIGURATION, publication);
            possiblyAppended = true;
            appendConfirmed = true;
        } catch (TamaracktrackException failure) {
            possiblyAppended |= failure.code() == ErrorCode.LOG_OUTCOME_UNKNOWN;
            if (!timer.awaitNextAttempt()) {
                throw possiblyAppended ? outcomeUnknown(publication, failure) : failure;
            }
        }
    }

    private void checkBaseVersion(Publication publication) {
        long inForce = configuration.inForce().map(ConfigurationInForce::version).orElse(-1L);
        if (inForce != publication.basedOn()) {
            throw TamaracktrackException.of(
                    ErrorCode.SUPERSEDED,
                    "version "
                            + inForce
                            + " is in force and this publication is based on "
                            + publication.basedOn()
                            + "; nothing was written: see what changed with `tamaracktrack diff"
                            + " FILE`, merge the changes into the file, and publish again");
        }
    }

    private static TamaracktrackException outcomeUnknown(
            Publication publication, TamaracktrackException failure) {
        return TamaracktrackException.of(
                ErrorCode.LOG_OUTCOME_UNKNOWN,
                "publication "
                        + publication.publication()
                        + " may have been written and was not read back; look for it with"
                        + " `tamaracktrack history` before you publish again",
                failure);
    }
}
