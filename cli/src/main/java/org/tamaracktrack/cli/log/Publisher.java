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

/** Publishes a configuration and reads back what came of it. */
public final class Publisher {
    private final LogClient log;
    private final ConfigurationLog configuration;
    private final Patience patience;
    private boolean perhapsWritten;
    private boolean written;

    private Publisher(LogClient log, ConfigurationLog configuration, Patience patience) {
        this.log = log;
        this.configuration = configuration;
        this.patience = patience;
    }

    /**
     * Returns a publisher.
     *
     * @param log the log
     * @param configuration the configuration stream, read to its end
     * @param patience how often to try when the log is out
     * @return the publisher
     */
    public static Publisher of(LogClient log, ConfigurationLog configuration, Patience patience) {
        Objects.requireNonNull(log, "log is null");
        Objects.requireNonNull(configuration, "configuration is null");
        Objects.requireNonNull(patience, "patience is null");
        return new Publisher(log, configuration, patience);
    }

    /**
     * Publishes.
     *
     * @param publication what to publish
     * @return what came of it, as read back from the log
     * @throws TamaracktrackException with {@code SUPERSEDED} when it was not written because
     *     another version is in force, {@code LOG_UNAVAILABLE} when it was certainly not written,
     *     {@code LOG_OUTCOME_UNKNOWN} when it was or may have been and could not be read back
     */
    // The answer to an append may be lost after the record was written. Told "failed", the operator
    // would publish again and may undo a colleague's change. So the verdict is always what the log
    // holds, and every try carries the same identifier, of which readers count the first only.
    public ConfigurationEvent publish(Publication publication) {
        Objects.requireNonNull(publication, "publication is null");
        try {
            return tryUntilRead(publication);
        } catch (TamaracktrackException failure) {
            if (perhapsWritten && failure.code() == ErrorCode.LOG_UNAVAILABLE) {
                throw unknown(publication, failure);
            }
            throw failure;
        }
    }

    private ConfigurationEvent tryUntilRead(Publication publication) {
        while (true) {
            configuration.readToEnd(patience);
            Optional<ConfigurationEvent> outcome = configuration.outcome(publication.publication());
            if (outcome.isPresent()) {
                return outcome.get();
            }
            if (!perhapsWritten) {
                checkBase(publication);
            }
            if (!written) {
                append(publication);
            } else if (!patience.another()) {
                throw unknown(publication, null);
            }
        }
    }

    private void append(Publication publication) {
        try {
            log.append(LogStream.CONFIGURATION, publication);
            perhapsWritten = true;
            written = true;
        } catch (TamaracktrackException failure) {
            perhapsWritten |= failure.code() == ErrorCode.LOG_OUTCOME_UNKNOWN;
            if (!patience.another()) {
                throw perhapsWritten ? unknown(publication, failure) : failure;
            }
        }
    }

    private void checkBase(Publication publication) {
        long inForce = configuration.inForce().map(ConfigurationInForce::version).orElse(-1L);
        if (inForce != publication.basedOn()) {
            throw TamaracktrackException.of(
                    ErrorCode.SUPERSEDED,
                    "version "
                            + inForce
                            + " is in force and this publication is based on "
                            + publication.basedOn()
                            + "; nothing was written: see what changed with `tamaracktrack diff"
                            + " FILE`, bring it in, and publish again");
        }
    }

    private static TamaracktrackException unknown(
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
