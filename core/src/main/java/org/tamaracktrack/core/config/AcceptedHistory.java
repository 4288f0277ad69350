package org.tamaracktrack.core.config;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.tamaracktrack.core.id.PublicationId;

/**
 * Keeps the recently accepted versions and the identifiers of recent publications, so that
 * snapshots and offers can be verified and repeated publications recognized.
 */
final class AcceptedHistory {
    static final int MAXIMUM_PUBLICATIONS = 256;
    private static final int MAXIMUM_VERSIONS = 32;

    private final TreeMap<Long, String> documents = new TreeMap<>();
    private final Deque<PublicationId> publicationsInOrder = new ArrayDeque<>();
    private final Set<PublicationId> publicationIds = new LinkedHashSet<>();
    private long coveredFrom;

    /** Clears the history; afterwards it covers no offset before {@code from}. */
    void restart(long from, List<PublicationId> publications) {
        documents.clear();
        publicationsInOrder.clear();
        publicationIds.clear();
        coveredFrom = from;
        publications.forEach(this::addPublication);
    }

    void addAccepted(long version, String document) {
        documents.put(version, document);
        if (documents.size() > MAXIMUM_VERSIONS) {
            documents.pollFirstEntry();
            coveredFrom = Math.max(coveredFrom, documents.firstKey() + 1);
        }
    }

    boolean addPublication(PublicationId publication) {
        if (!publicationIds.add(publication)) {
            return false;
        }
        publicationsInOrder.addLast(publication);
        if (publicationsInOrder.size() > MAXIMUM_PUBLICATIONS) {
            publicationIds.remove(publicationsInOrder.removeFirst());
        }
        return true;
    }

    boolean covers(long upTo) {
        return upTo >= coveredFrom;
    }

    Optional<Map.Entry<Long, String>> inForceBefore(long upTo) {
        return Optional.ofNullable(documents.lowerEntry(upTo));
    }

    boolean isAccepted(long version, String document) {
        return document.equals(documents.get(version));
    }

    List<PublicationId> publications() {
        return new ArrayList<>(publicationsInOrder);
    }
}
