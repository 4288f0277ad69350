package org.tamaracktrack.daemon.gateway;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Function;
import org.jboss.logging.Logger;
import org.tamaracktrack.core.route.ServingConfiguration;
import org.tamaracktrack.link.topic.KeyedRecord;

/**
 * Applies the newest configuration from the store and never an older one. Used on the control
 * thread.
 */
public final class ConfigurationFollower implements KeyedFollower.Listener {
    private static final Logger LOG = Logger.getLogger("tamaracktrack.configuration");
    private static final long NONE = -1;

    private final String key;
    private final Function<byte[], Optional<ServingConfiguration>> decoder;
    private final Consumer<ServingConfiguration> onConfiguration;
    private long version = NONE;

    private ConfigurationFollower(
            String key,
            Function<byte[], Optional<ServingConfiguration>> decoder,
            Consumer<ServingConfiguration> onConfiguration) {
        this.key = key;
        this.decoder = decoder;
        this.onConfiguration = onConfiguration;
    }

    /**
     * Returns a follower that has not received a configuration.
     *
     * @param key the key of the configuration's record
     * @param decoder decodes the record; empty if it cannot be decoded
     * @param onConfiguration receives each newer configuration
     * @return the follower
     */
    public static ConfigurationFollower of(
            String key,
            Function<byte[], Optional<ServingConfiguration>> decoder,
            Consumer<ServingConfiguration> onConfiguration) {
        Objects.requireNonNull(key, "key is null");
        return new ConfigurationFollower(key, decoder, onConfiguration);
    }

    @Override
    public void onListing(List<KeyedRecord> records) {
        onRecords(records);
    }

    @Override
    public void onRecords(List<KeyedRecord> records) {
        // Versions published in quick succession are read together; only the last is applied.
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
        // A listing from a lagging replica of the store may be older than the configuration in
        // force.
        if (configuration.version() <= version) {
            return;
        }
        LOG.info("event=configuration version=" + configuration.version() + " was=" + version);
        version = configuration.version();
        onConfiguration.accept(configuration);
    }

    @Override
    public void onStoreUnavailable() {
        // The last configuration stays in force.
    }

    @Override
    public void onStoreAvailable(long availableAtMillis) {
        // The records read next bring the configuration up to date.
    }
}
