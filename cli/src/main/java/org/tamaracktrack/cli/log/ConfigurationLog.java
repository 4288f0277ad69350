package org.tamaracktrack.cli.log;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.tamaracktrack.core.config.ConfigurationEvent;
import org.tamaracktrack.core.config.ConfigurationInForce;
import org.tamaracktrack.core.config.ConfigurationRegister;
import org.tamaracktrack.core.error.ErrorCode;
import org.tamaracktrack.core.error.TamaracktrackException;
import org.tamaracktrack.core.id.PublicationId;
import org.tamaracktrack.core.log.LogStream;
import org.tamaracktrack.link.codec.ConfigurationDocuments;
import org.tamaracktrack.link.log.LogClient;

/** Reads the configuration stream of the log by the same rules as the daemons. */
public final class ConfigurationLog {
    private final ConfigurationRegister register =
            ConfigurationRegister.of(ConfigurationDocuments::parseJson);
    private final List<ConfigurationEvent> events = new ArrayList<>();
    private final StreamReader reader;

    private ConfigurationLog(LogClient log) {
        this.reader =
                StreamReader.of(
                        log,
                        LogStream.CONFIGURATION,
                        record -> events.addAll(register.handle(record)),
                        register::handleUnreadable,
                        firstOffset -> events.addAll(register.handleGap(firstOffset)));
    }

    /**
     * Returns a reader that starts at the oldest record.
     *
     * @param log the log
     * @return the reader
     */
    public static ConfigurationLog of(LogClient log) {
        Objects.requireNonNull(log, "log is null");
        return new ConfigurationLog(log);
    }

    /**
     * Reads all records up to the end of the stream.
     *
     * @param timer limits the retries of failed reads
     */
    public void readToEnd(RetryTimer timer) {
        reader.readToEnd(timer);
    }

    /**
     * Returns the configuration in force.
     *
     * @return the configuration; empty if none has been published
     * @throws TamaracktrackException with {@code LOG_GAP} if records have expired and the log has
     *     no snapshot that covers them, so that the configuration in force can't be determined
     */
    public Optional<ConfigurationInForce> inForce() {
        if (register.awaitsSnapshot()) {
            throw TamaracktrackException.of(
                    ErrorCode.LOG_GAP,
                    "configuration records expired and no snapshot covers them; start an entry"
                            + " daemon that still has the configuration, or see OPERATORS.md,"
                            + " \"The configuration has expired from the log\"");
        }
        return register.inForce();
    }

    /**
     * Returns the events that resulted from the records read so far.
     *
     * @return the events, oldest first
     */
    public List<ConfigurationEvent> events() {
        return List.copyOf(events);
    }

    /**
     * Returns the outcome of a publication, which is the outcome of the first record with its
     * identifier.
     *
     * @param publication the identifier of the publication
     * @return the outcome; empty if no such record has been read
     */
    public Optional<ConfigurationEvent> outcome(PublicationId publication) {
        return events.stream().filter(event -> isOutcomeOf(event, publication)).findFirst();
    }

    private static boolean isOutcomeOf(ConfigurationEvent event, PublicationId publication) {
        if (event instanceof ConfigurationEvent.Accepted accepted) {
            return accepted.publication().publication().equals(publication);
        }
        if (event instanceof ConfigurationEvent.Superseded superseded) {
            return superseded.publication().publication().equals(publication);
        }
        return event instanceof ConfigurationEvent.Invalid invalid
                && invalid.publication().publication().equals(publication);
    }
}
