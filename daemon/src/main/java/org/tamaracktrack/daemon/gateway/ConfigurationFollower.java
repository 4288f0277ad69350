package org.tamaracktrack.daemon.gateway;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Function;
import org.jboss.logging.Logger;
import org.tamaracktrack.core.route.ServingConfiguration;
import org.tamaracktrack.link.topic.KeyedRecord;

/** Puts the newest configuration in force, and never an older one. On the control thread. */
public final class ConfigurationFollower implements KeyedFollower.Listener {
    private static final Logger LOG = Logger.getLogger("tamaracktrack.configuration");
    private static final long NONE = -1;

    private final String key;
    private final Function<byte[], Optional<ServingConfiguration>> decoder;
    private final Consumer<ServingConfiguration> inForce;
    private long version = NONE;

    private ConfigurationFollower(
            String key,
            Function<byte[], Optional<ServingConfiguration>> decoder,
            Consumer<ServingConfiguration> inForce) {
        this.key = key;
        this.decoder = decoder;
        this.inForce = inForce;
    }

    /**
     * Returns a follower that has none yet.
     *
     * @param key the key of the configuration's record
     * @param decoder decodes it; empty when it can't be
     * @param inForce takes each newer one
     * @return the follower
     */
    public static ConfigurationFollower of(
            String key,
            Function<byte[], Optional<ServingConfiguration>> decoder,
            Consumer<ServingConfiguration> inForce) {
        Objects.requireNonNull(key, "key is null");
        return new ConfigurationFollower(key, decoder, inForce);
    }

    @Override
    public void onListing(List<KeyedRecord> records) {
        onRecords(records);
    }

    @Override
    public void onRecords(List<KeyedRecord> records) {
        // Versions that follow each other quickly are read together; only the last is put in force.
        records.stream()
                .filter(record -> record.key().equals(key))
                .reduce((earlier, later) -> later)
                .flatMap(KeyedRecord::value)
                .ifPresent(this::accept);
    }

    private void accept(byte[] document) {
        Optional<ServingConfiguration> decoded = decoder.apply(document);
        if (decoded.isEmpty()) {
            LOG.error("event=configuration-unreadable kept=" + version);
            return;
        }
        ServingConfiguration configuration = decoded.get();
        // A listing read through a lagging part of the store may be behind what was put in force.
        if (configuration.version() <= version) {
            return;
        }
        LOG.info("event=configuration version=" + configuration.version() + " was=" + version);
        version = configuration.version();
        inForce.accept(configuration);
    }

    @Override
    public void onAway() {
        // The last configuration stays in force.
    }

    @Override
    public void onBack(long returnedAtMillis) {
        // The records that follow bring it up to date.
    }
}
