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

/** The configuration stream as every daemon reads it. */
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
                        first -> events.addAll(register.handleGap(first)));
    }

    /**
     * Returns a reader of the stream that has read nothing.
     *
     * @param log the log
     * @return the reader
     */
    public static ConfigurationLog of(LogClient log) {
        Objects.requireNonNull(log, "log is null");
        return new ConfigurationLog(log);
    }

    /**
     * Reads to the end of the stream.
     *
     * @param patience how often to try when the log can't be read
     */
    public void readToEnd(Patience patience) {
        reader.readToEnd(patience);
    }

    /**
     * Returns the configuration in force.
     *
     * @return the configuration; empty when nothing was published yet
     * @throws TamaracktrackException with {@code LOG_GAP} when records expired and the log holds no
     *     snapshot to go on from, so that nobody can tell
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
     * Returns what was made of the records read so far.
     *
     * @return the events, oldest first
     */
    public List<ConfigurationEvent> events() {
        return List.copyOf(events);
    }

    /**
     * Returns what came of a publication: what came of the first record with its identifier.
     *
     * @param publication the publication
     * @return what came of it; empty when it was not read
     */
    public Optional<ConfigurationEvent> outcome(PublicationId publication) {
        return events.stream().filter(event -> concerns(event, publication)).findFirst();
    }

    private static boolean concerns(ConfigurationEvent event, PublicationId publication) {
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
