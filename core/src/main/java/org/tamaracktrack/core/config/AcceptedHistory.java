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

/** What a reader remembers of the stream: versions accepted of late, and publications seen. */
final class AcceptedHistory {
    static final int REMEMBERED_PUBLICATIONS = 256;
    private static final int REMEMBERED_VERSIONS = 32;

    private final TreeMap<Long, String> documents = new TreeMap<>();
    private final Deque<PublicationId> seenInOrder = new ArrayDeque<>();
    private final Set<PublicationId> seen = new LinkedHashSet<>();
    private long knownFrom;

    /** Starts anew: nothing is known of offsets before {@code from}. */
    void restart(long from, List<PublicationId> publications) {
        documents.clear();
        seenInOrder.clear();
        seen.clear();
        knownFrom = from;
        publications.forEach(this::see);
    }

    void accept(long version, String document) {
        documents.put(version, document);
        if (documents.size() > REMEMBERED_VERSIONS) {
            documents.pollFirstEntry();
            knownFrom = Math.max(knownFrom, documents.firstKey() + 1);
        }
    }

    boolean see(PublicationId publication) {
        if (!seen.add(publication)) {
            return false;
        }
        seenInOrder.addLast(publication);
        if (seenInOrder.size() > REMEMBERED_PUBLICATIONS) {
            seen.remove(seenInOrder.removeFirst());
        }
        return true;
    }

    boolean knows(long upTo) {
        return upTo >= knownFrom;
    }

    Optional<Map.Entry<Long, String>> inForceBefore(long upTo) {
        return Optional.ofNullable(documents.lowerEntry(upTo));
    }

    boolean accepted(long version, String document) {
        return document.equals(documents.get(version));
    }

    List<PublicationId> publications() {
        return new ArrayList<>(seenInOrder);
    }
}
