package org.tamaracktrack.core.config;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.IntStream;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import org.tamaracktrack.core.config.ConfigurationEvent.InvariantBroken;
import org.tamaracktrack.core.id.PublicationId;
import org.tamaracktrack.core.log.LogEntry;
import org.tamaracktrack.core.log.LogRecord;

/**
 * Several readers of one log in memory, driven step by step, and checked after each step against a
 * plain reckoning of which version is in force at each offset.
 */
final class ConfigurationSchedule {
    private static final int READERS = 4;
    private static final int KEEPER = 0;

    /** What may happen. */
    enum Kind {
        PUBLISH,
        PUBLISH_ON_OLD,
        PUBLISH_ON_GUESS,
        PUBLISH_INVALID,
        APPEND_AGAIN,
        APPEND_LATE,
        UNREADABLE,
        SNAPSHOT,
        SNAPSHOT_LATE,
        LATE_ARRIVES,
        READ_ONE,
        READ_ALL,
        EXPIRE,
        OFFER,
        OFFER_LATE,
        LATE_OFFER_ARRIVES,
        LOG_OUT,
        RESTART
    }

    /** One step; the numbers choose among what there is. */
    record Step(Kind kind, int first, int second) {}

    private record Offer(long version, String document) {}

    private final List<Optional<LogEntry>> log = new ArrayList<>();
    private final List<LogEntry.Publication> published = new ArrayList<>();
    private final Deque<LogEntry> lateAppends = new ArrayDeque<>();
    private final Deque<Offer> lateOffers = new ArrayDeque<>();
    private final TreeMap<Long, String> accepted = new TreeMap<>();
    private final Set<PublicationId> counted = new HashSet<>();
    private final ConfigurationRegister[] readers = new ConfigurationRegister[READERS];
    private final long[] highestConfirmed = new long[READERS];
    private final long[] highestInForce = new long[READERS];
    private long firstOffset;

    ConfigurationSchedule() {
        IntStream.range(0, READERS).forEach(this::restart);
    }

    static Arbitrary<List<Step>> schedules(int mostSteps) {
        return Combinators.combine(
                        Arbitraries.of(Kind.class),
                        Arbitraries.integers().between(0, 63),
                        Arbitraries.integers().between(0, 63))
                .as(Step::new)
                .list()
                .ofMinSize(1)
                .ofMaxSize(mostSteps);
    }

    void run(List<Step> steps) {
        steps.forEach(
                step -> {
                    apply(step);
                    read(KEEPER, log.size());
                    IntStream.range(0, READERS).forEach(this::check);
                });
    }

    /** Whatever happened, one snapshot by a reader that missed nothing brings all together. */
    void converge() {
        readers[KEEPER].snapshot().ifPresent(this::append);
        IntStream.range(0, READERS).forEach(reader -> read(reader, log.size()));
        IntStream.range(0, READERS).forEach(this::check);
        IntStream.range(0, READERS)
                .filter(reader -> !accepted.isEmpty())
                .forEach(
                        reader ->
                                assertWithMessage("version at reader %s", reader)
                                        .that(readers[reader].confirmedVersion())
                                        .isEqualTo(accepted.lastKey()));
    }

    private void apply(Step step) {
        int reader = 1 + step.first() % (READERS - 1);
        switch (step.kind()) {
            case PUBLISH -> publish(versionBefore(log.size()), "document");
            case PUBLISH_ON_OLD -> publish(versionBefore(pick(step, log.size() + 1)), "document");
            case PUBLISH_ON_GUESS -> publish(log.size() + step.first() % 4, "document");
            case PUBLISH_INVALID -> publish(versionBefore(log.size()), RegisterDocuments.INVALID);
            case APPEND_AGAIN -> pick(step).ifPresent(this::append);
            case APPEND_LATE -> pick(step).ifPresent(lateAppends::add);
            case UNREADABLE -> log.add(Optional.empty());
            case SNAPSHOT -> readers[step.first() % READERS].snapshot().ifPresent(this::append);
            case SNAPSHOT_LATE ->
                    readers[step.first() % READERS].snapshot().ifPresent(lateAppends::add);
            case LATE_ARRIVES -> Optional.ofNullable(lateAppends.poll()).ifPresent(this::append);
            case READ_ONE -> read(reader, 1);
            case READ_ALL -> read(reader, log.size());
            case EXPIRE -> firstOffset = Math.max(firstOffset, pick(step, log.size() + 1));
            case OFFER -> offerOf(step).ifPresent(offer -> offer(reader, offer));
            case OFFER_LATE -> offerOf(step).ifPresent(lateOffers::add);
            case LATE_OFFER_ARRIVES ->
                    Optional.ofNullable(lateOffers.poll()).ifPresent(offer -> offer(reader, offer));
            case LOG_OUT -> readers[reader].unreachable();
            default -> restart(reader);
        }
    }

    private void publish(long basedOn, String kind) {
        PublicationId id = PublicationId.of("p-" + published.size());
        String document = kind + "-" + published.size();
        append(new LogEntry.Publication(id, basedOn, document, "operator", ""));
    }

    private void append(LogEntry entry) {
        long offset = log.size();
        log.add(Optional.of(entry));
        entry.asPublication()
                .filter(publication -> counted.add(publication.publication()))
                .ifPresent(publication -> reckon(offset, publication));
    }

    private void reckon(long offset, LogEntry.Publication publication) {
        published.add(publication);
        boolean valid = !publication.document().startsWith(RegisterDocuments.INVALID);
        if (valid && publication.basedOn() == versionBefore(offset)) {
            accepted.put(offset, publication.document());
        }
    }

    private long versionBefore(long offset) {
        return Optional.ofNullable(accepted.lowerKey(offset)).orElse(-1L);
    }

    private static int pick(Step step, int count) {
        return step.second() % count;
    }

    private Optional<LogEntry.Publication> pick(Step step) {
        return published.isEmpty()
                ? Optional.empty()
                : Optional.of(published.get(pick(step, published.size())));
    }

    private Optional<Offer> offerOf(Step step) {
        return readers[step.second() % READERS]
                .inForce()
                .map(inForce -> new Offer(inForce.version(), inForce.document()));
    }

    private void offer(int reader, Offer offer) {
        honest(readers[reader].offer(offer.version(), offer.document()));
    }

    private void restart(int reader) {
        if (readers[reader] != null && reader == KEEPER) {
            return;
        }
        readers[reader] = ConfigurationRegister.of(RegisterDocuments::parse);
        highestConfirmed[reader] = -1;
        highestInForce[reader] = -1;
    }

    private void read(int reader, int count) {
        ConfigurationRegister register = readers[reader];
        if (firstOffset > register.nextOffset()) {
            honest(register.gap(firstOffset));
        }
        long from = Math.max(firstOffset, register.nextOffset());
        long end = Math.min(log.size(), from + count);
        for (long offset = from; offset < end; offset++) {
            if (log.get((int) offset).isEmpty()) {
                register.handleUnreadable(offset);
            }
        }
        for (long offset = from; offset < end; offset++) {
            long at = offset;
            log.get((int) offset)
                    .ifPresent(entry -> honest(register.handle(LogRecord.of(at, at, entry))));
        }
        if (end == log.size()) {
            honest(register.caughtUp(end));
        }
    }

    private static void honest(List<ConfigurationEvent> events) {
        assertThat(events.stream().filter(InvariantBroken.class::isInstance).toList()).isEmpty();
    }

    private void check(int reader) {
        ConfigurationRegister register = readers[reader];
        long confirmed = register.confirmedVersion();
        long inForce = register.inForce().map(InForce::version).orElse(-1L);
        assertWithMessage("confirmed version at reader %s", reader)
                .that(confirmed)
                .isAtLeast(highestConfirmed[reader]);
        assertWithMessage("version in force at reader %s", reader)
                .that(inForce)
                .isAtLeast(highestInForce[reader]);
        highestConfirmed[reader] = confirmed;
        highestInForce[reader] = inForce;
        if (!register.awaitsSnapshot()) {
            assertWithMessage("version at reader %s, offset %s", reader, register.nextOffset())
                    .that(confirmed)
                    .isEqualTo(versionBefore(register.nextOffset()));
        }
        register.inForce()
                .ifPresent(
                        known ->
                                assertWithMessage("document of version %s", known.version())
                                        .that(known.document())
                                        .isEqualTo(accepted.get(known.version())));
    }
}
