package org.tamaracktrack.daemon.configuration;

import org.jboss.logging.Logger;
import org.tamaracktrack.core.config.ConfigurationEvent;

/** Writes one log line for each change of the configuration's state. */
final class ConfigurationEventLog {
    private ConfigurationEventLog() {}

    static void write(Logger log, ConfigurationEvent event) {
        if (event instanceof ConfigurationEvent.Accepted accepted) {
            log.infof(
                    "event=configuration-in-force version=%d operator=%s warnings=%d",
                    accepted.record().offset(),
                    accepted.publication().operator(),
                    accepted.warnings().size());
        } else if (event instanceof ConfigurationEvent.Superseded superseded) {
            log.infof(
                    "event=publication-superseded offset=%d based-on=%d in-force=%d",
                    superseded.record().offset(),
                    superseded.publication().basedOn(),
                    superseded.versionInForce());
        } else if (event instanceof ConfigurationEvent.Invalid invalid) {
            log.warnf(
                    "event=publication-invalid offset=%d problems=%d",
                    invalid.record().offset(), invalid.problems().size());
        } else if (event instanceof ConfigurationEvent.LaterFormat later) {
            log.errorf("event=configuration-of-later-format offset=%d", later.record().offset());
        } else if (event instanceof ConfigurationEvent.SnapshotTaken taken) {
            log.infof("event=configuration-from-snapshot version=%d", taken.version());
        } else if (event instanceof ConfigurationEvent.Gap gap) {
            log.warnf(
                    "event=configuration-records-expired expected=%d first=%d",
                    gap.expectedOffset(), gap.firstOffset());
        } else if (event instanceof ConfigurationEvent.OfferTaken taken) {
            log.infof("event=configuration-from-peer version=%d", taken.version());
        } else if (event instanceof ConfigurationEvent.InvariantBroken broken) {
            log.errorf(
                    "event=configuration-invariant-broken breach=%s version=%d",
                    broken.breach(), broken.version());
        }
    }
}
