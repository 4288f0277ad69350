package org.tamaracktrack.core.stream;

import java.util.Objects;
import org.tamaracktrack.core.id.ServiceId;
import org.tamaracktrack.core.id.SoftwareVersion;

/**
 * Where a stream began. It may be continued only at targets of this service that run this version.
 *
 * @param service the service of the target that sent its first event
 * @param version the software version of that target
 */
public record StreamOrigin(ServiceId service, SoftwareVersion version) {

    /** Checks the arguments. */
    public StreamOrigin {
        Objects.requireNonNull(service, "service is null");
        Objects.requireNonNull(version, "version is null");
    }
}
