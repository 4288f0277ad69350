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
 * Runs several readers of one in-memory log step by step and checks them after each step against a
 * simple model of which version is in force at each offset.
 */
final class ConfigurationSchedule {
    private static final int READERS = 4;
    private static final int COMPLETE_READER = 0;

    /** The kinds of step. */
    enum Kind {
        PUBLISH,
        PUBLISH_ON_EARLIER_VERSION,
        PUBLISH_ON_FUTURE_VERSION,
        PUBLISH_INVALID,
        REPEAT_APPEND,
        DELAY_APPEND,
        APPEND_UNREADABLE,
        APPEND_SNAPSHOT,
        DELAY_SNAPSHOT,
        DELIVER_DELAYED_APPEND,
        READ_ONE,
        READ_ALL,
        EXPIRE,
        OFFER,
        DELAY_OFFER,
        DELIVER_DELAYED_OFFER,
        LOG_UNREACHABLE,
        RESTART
    }

    /** A step; the numbers select a reader, publication, version or offset. */
    record Step(Kind kind, int first, int second) {}

    private record Offer(long version, String document) {}

    private final List<Optional<LogEntry>> log = new ArrayList<>();
    private final List<LogEntry.Publication> distinctPublications = new ArrayList<>();
    private final Deque<LogEntry> delayedAppends = new ArrayDeque<>();
    private final Deque<Offer> delayedOffers = new ArrayDeque<>();
    private final TreeMap<Long, String> expectedAccepted = new TreeMap<>();
    private final Set<PublicationId> appendedPublications = new HashSet<>();
    private final ConfigurationRegister[] readers = new ConfigurationRegister[READERS];
    private final long[] highestConfirmed = new long[READERS];
    private final long[] highestInForce = new long[READERS];
    private long firstOffset;

    ConfigurationSchedule() {
        IntStream.range(0, READERS).forEach(this::restart);
    }

    static Arbitrary<List<Step>> schedules(int maximumSteps) {
        return Combinators.combine(
                        Arbitraries.of(Kind.class),
                        Arbitraries.integers().between(0, 63),
                        Arbitraries.integers().between(0, 63))
                .as(Step::new)
                .list()
                .ofMinSize(1)
                .ofMaxSize(maximumSteps);
    }

    void run(List<Step> steps) {
        steps.forEach(
                step -> {
                    apply(step);
                    read(COMPLETE_READER, log.size());
                    IntStream.range(0, READERS).forEach(this::checkReader);
                });
    }

    /** Checks that one snapshot by a reader that missed nothing makes all readers converge. */
    void checkConvergence() {
        readers[COMPLETE_READER].snapshot().ifPresent(this::append);
        IntStream.range(0, READERS).forEach(reader -> read(reader, log.size()));
        IntStream.range(0, READERS).forEach(this::checkReader);
        IntStream.range(0, READERS)
                .filter(reader -> !expectedAccepted.isEmpty())
                .forEach(
                        reader ->
                                assertWithMessage("version at reader %s", reader)
                                        .that(readers[reader].confirmedVersion())
                                        .isEqualTo(expectedAccepted.lastKey()));
    }

    private void apply(Step step) {
        int reader = 1 + step.first() % (READERS - 1);
        switch (step.kind()) {
            case PUBLISH -> publish(expectedVersionBefore(log.size()), "document");
            case PUBLISH_ON_EARLIER_VERSION ->
                    publish(expectedVersionBefore(pick(step, log.size() + 1)), "document");
            case PUBLISH_ON_FUTURE_VERSION -> publish(log.size() + step.first() % 4, "document");
            case PUBLISH_INVALID ->
                    publish(expectedVersionBefore(log.size()), RegisterDocuments.INVALID);
            case REPEAT_APPEND -> pick(step).ifPresent(this::append);
            case DELAY_APPEND -> pick(step).ifPresent(delayedAppends::add);
            case APPEND_UNREADABLE -> log.add(Optional.empty());
            case APPEND_SNAPSHOT ->
                    readers[step.first() % READERS].snapshot().ifPresent(this::append);
            case DELAY_SNAPSHOT ->
                    readers[step.first() % READERS].snapshot().ifPresent(delayedAppends::add);
            case DELIVER_DELAYED_APPEND ->
                    Optional.ofNullable(delayedAppends.poll()).ifPresent(this::append);
            case READ_ONE -> read(reader, 1);
            case READ_ALL -> read(reader, log.size());
            case EXPIRE -> firstOffset = Math.max(firstOffset, pick(step, log.size() + 1));
            case OFFER -> offerOf(step).ifPresent(offer -> offer(reader, offer));
            case DELAY_OFFER -> offerOf(step).ifPresent(delayedOffers::add);
            case DELIVER_DELAYED_OFFER ->
                    Optional.ofNullable(delayedOffers.poll())
                            .ifPresent(offer -> offer(reader, offer));
            case LOG_UNREACHABLE -> readers[reader].handleLogUnreachable();
            default -> restart(reader);
        }
    }

    private void publish(long basedOn, String kind) {
        PublicationId id = PublicationId.of("p-" + distinctPublications.size());
        String document = kind + "-" + distinctPublications.size();
        append(new LogEntry.Publication(id, basedOn, document, "operator", ""));
    }

    private void append(LogEntry entry) {
        long offset = log.size();
        log.add(Optional.of(entry));
        entry.asPublication()
                .filter(publication -> appendedPublications.add(publication.publication()))
                .ifPresent(publication -> updateExpected(offset, publication));
    }

    private void updateExpected(long offset, LogEntry.Publication publication) {
        distinctPublications.add(publication);
        boolean valid = !publication.document().startsWith(RegisterDocuments.INVALID);
        if (valid && publication.basedOn() == expectedVersionBefore(offset)) {
            expectedAccepted.put(offset, publication.document());
        }
    }

    private long expectedVersionBefore(long offset) {
        return Optional.ofNullable(expectedAccepted.lowerKey(offset)).orElse(-1L);
    }

    private static int pick(Step step, int count) {
        return step.second() % count;
    }

    private Optional<LogEntry.Publication> pick(Step step) {
        return distinctPublications.isEmpty()
                ? Optional.empty()
                : Optional.of(distinctPublications.get(pick(step, distinctPublications.size())));
    }

    private Optional<Offer> offerOf(Step step) {
        return readers[step.second() % READERS]
                .inForce()
                .map(inForce -> new Offer(inForce.version(), inForce.document()));
    }

    private void offer(int reader, Offer offer) {
        assertNoInvariantBroken(readers[reader].handleOffer(offer.version(), offer.document()));
    }

    private void restart(int reader) {
        if (readers[reader] != null && reader == COMPLETE_READER) {
            return;
        }
        readers[reader] = ConfigurationRegister.of(RegisterDocuments::parse);
        highestConfirmed[reader] = -1;
        highestInForce[reader] = -1;
    }

    private void read(int reader, int count) {
        ConfigurationRegister register = readers[reader];
        if (firstOffset > register.nextOffset()) {
            assertNoInvariantBroken(register.handleGap(firstOffset));
        }
        long from = Math.max(firstOffset, register.nextOffset());
        long end = Math.min(log.size(), from + count);
        for (long offset = from; offset < end; offset++) {
            if (log.get((int) offset).isEmpty()) {
                register.handleUnreadable(offset);
            }
        }
        for (long offset = from; offset < end; offset++) {
            long recordOffset = offset;
            log.get((int) offset)
                    .ifPresent(
                            entry ->
                                    assertNoInvariantBroken(
                                            register.handle(
                                                    LogRecord.of(
                                                            recordOffset, recordOffset, entry))));
        }
        if (end == log.size()) {
            assertNoInvariantBroken(register.handleEndOfLog(end));
        }
    }

    private static void assertNoInvariantBroken(List<ConfigurationEvent> events) {
        assertThat(events.stream().filter(InvariantBroken.class::isInstance).toList()).isEmpty();
    }

    private void checkReader(int reader) {
        ConfigurationRegister register = readers[reader];
        long confirmed = register.confirmedVersion();
        long inForce = register.inForce().map(ConfigurationInForce::version).orElse(-1L);
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
                    .isEqualTo(expectedVersionBefore(register.nextOffset()));
        }
        register.inForce()
                .ifPresent(
                        known ->
                                assertWithMessage("document of version %s", known.version())
                                        .that(known.document())
                                        .isEqualTo(expectedAccepted.get(known.version())));
    }
}
