package org.tamaracktrack.core.stream;

import java.util.Objects;
import java.util.Optional;

/**
 * The result of a search for the origin of a stream.
 *
 * @param origin the origin; empty when it is unknown, so that the stream must not be continued
 * @param source how the origin is known
 * @param ageMillis the age of the own record in milliseconds; 0 for other sources
 * @param searchedMillis how long the search took, in milliseconds
 */
public record OriginFinding(
        Optional<StreamOrigin> origin, Source source, long ageMillis, long searchedMillis) {

    /** How the origin of a stream is known. */
    public enum Source {
        /** The registry shows one version only, as of a time after the stream was taken up. */
        ONLY_VERSION,
        /** This daemon has a record. */
        OWN_RECORD,
        /** Another daemon has a record. */
        PEER_RECORD,
        /** The registry can't be read, and all daemons that answered know one version only. */
        PEERS_AGREE,
        /** The origin is unknown. */
        UNKNOWN
    }

    /** Checks the arguments. */
    public OriginFinding {
        Objects.requireNonNull(origin, "origin is null");
        Objects.requireNonNull(source, "source is null");
    }

    /**
     * Returns the result of a search without success.
     *
     * @param searchedMillis how long the search took, in milliseconds
     * @return the result
     */
    public static OriginFinding unknown(long searchedMillis) {
        return new OriginFinding(Optional.empty(), Source.UNKNOWN, 0, searchedMillis);
    }
}
