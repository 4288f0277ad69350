package org.tamaracktrack.daemon.quarantine;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.tamaracktrack.core.dispatch.PromptPart;
import org.tamaracktrack.core.fleet.TargetIncarnation;
import org.tamaracktrack.core.id.ServiceId;
import org.tamaracktrack.core.id.TargetId;
import org.tamaracktrack.core.quarantine.PartFingerprint;
import org.tamaracktrack.core.quarantine.Quarantine;
import org.tamaracktrack.core.quarantine.RequestFingerprint;
import org.tamaracktrack.core.quarantine.Suspect;
import org.tamaracktrack.core.quarantine.TargetEnd;
import org.tamaracktrack.daemon.gateway.TrialAuthority;
import org.tamaracktrack.daemon.relay.InMemoryTopicClient;
import org.tamaracktrack.daemon.relay.RelayPair;
import org.tamaracktrack.link.topic.KeyedRecord;
import org.tamaracktrack.link.topic.TopicPart;

class QuarantineExchangeTest {
    private static final TopicPart PART = new TopicPart("ends", 0);
    private static final RequestFingerprint REQUEST =
            RequestFingerprint.of("POST", "host", "/", new byte[0]);

    private final InMemoryTopicClient log = new InMemoryTopicClient();
    private RelayPair pair;
    private QuarantineExchange exchange;
    private volatile Quarantine published = Quarantine.empty();

    @BeforeEach
    void start() throws IOException {
        pair = RelayPair.start();
        exchange =
                QuarantineExchange.start(
                        log,
                        PART,
                        pair.control(),
                        () -> false,
                        newQuarantine -> published = newQuarantine);
    }

    @AfterEach
    void close() {
        pair.close();
    }

    private static List<TargetEnd> ends(int targets) {
        return IntStream.range(0, targets)
                .mapToObj(target -> new TargetIncarnation(TargetId.of("t" + target), 5))
                .map(target -> new TargetEnd(REQUEST, target, true))
                .collect(Collectors.toList());
    }

    private List<KeyedRecord> writtenRecords() {
        return IntStream.range(0, log.records().size())
                .mapToObj(offset -> log.keyed(log.records().get(offset), offset).orElseThrow())
                .collect(Collectors.toList());
    }

    @Test
    void shouldHoldRequestAndWriteItsEnds() {
        exchange.onTargetEnded(ends(3));

        pair.await(() -> published.isHeld(REQUEST));
        pair.await(() -> log.records().size() == 3);
    }

    // Guards against ends that only one daemon counts.
    @Test
    void shouldHoldRequestWhenAnotherDaemonWroteItsEnds() {
        exchange.onTargetEnded(ends(3));
        pair.await(() -> log.records().size() == 3);
        Quarantine[] otherPublished = {Quarantine.empty()};
        QuarantineExchange otherExchange =
                QuarantineExchange.start(
                        new InMemoryTopicClient(),
                        PART,
                        pair.control(),
                        () -> false,
                        newQuarantine -> otherPublished[0] = newQuarantine);

        pair.onControl(() -> otherExchange.onListing(writtenRecords()));

        pair.await(() -> otherPublished[0].isHeld(REQUEST));
    }

    // Guards against ends that are lost because the store was unavailable.
    @Test
    void shouldRetryWriteWhenAnswerIsLost() {
        log.loseNextAnswer();

        exchange.onTargetEnded(ends(1));

        pair.await(() -> log.records().size() == 2);
        assertThat(writtenRecords().get(0).key()).isEqualTo(writtenRecords().get(1).key());
    }

    @Test
    void shouldRemoveEndsWhenRequestIsAnswered() {
        exchange.onTargetEnded(ends(2));
        pair.await(() -> log.records().size() == 2);

        exchange.onAnswered(REQUEST);

        pair.await(() -> log.records().size() == 4);
        assertThat(published.isEmpty()).isTrue();
        assertThat(writtenRecords().get(3).value()).isEqualTo(Optional.empty());
    }

    // Guards against an end that stays stored because the request was answered during its write.
    @Test
    void shouldRemoveEndWhoseWriteIsPendingWhenRequestIsAnswered() {
        CompletableFuture<Void> release = new CompletableFuture<>();
        pair.onControl(() -> log.holdAppends(release));
        exchange.onTargetEnded(ends(1));
        pair.await(() -> log.records().size() == 1);

        exchange.onAnswered(REQUEST);
        pair.onControl(() -> release.complete(null));

        pair.await(() -> log.records().size() == 2);
        assertThat(writtenRecords().get(1).value()).isEqualTo(Optional.empty());
    }

    @Test
    void shouldIgnoreRecordThatIsNotAnEnd() {
        pair.onControl(
                () ->
                        exchange.onRecords(
                                List.of(
                                        new KeyedRecord("other", Optional.of(new byte[] {1}), 0),
                                        new KeyedRecord("other", Optional.empty(), 1))));

        assertThat(published.isEmpty()).isTrue();
    }

    @Nested
    class Trials {
        private final Suspect deadly = part("deadly");
        private final Suspect other = part("other");
        private final List<Optional<TrialAuthority.Permit>> answers = new CopyOnWriteArrayList<>();

        private Suspect part(String id) {
            return PartFingerprint.of(ServiceId.of("engines"), new PromptPart(id, 40));
        }

        /** Adds records of five ends at which both parts were. */
        private void holdBothParts(QuarantineExchange holder) {
            List<KeyedRecord> records =
                    IntStream.range(0, 10)
                            .mapToObj(
                                    number ->
                                            new EndRecord(
                                                    new TargetEnd(
                                                            number % 2 == 0 ? deadly : other,
                                                            new TargetIncarnation(
                                                                    TargetId.of("t" + number / 2),
                                                                    5),
                                                            false),
                                                    number * 1_000L))
                            .map(
                                    record ->
                                            new KeyedRecord(
                                                    EndRecord.key(record.end()),
                                                    Optional.of(record.value()),
                                                    0))
                            .collect(Collectors.toList());
            pair.onControl(() -> holder.onRecords(records));
        }

        private void readUpTo(QuarantineExchange reader, long offset) {
            pair.onControl(() -> reader.onPosition(OptionalLong.of(offset)));
        }

        private Optional<TrialAuthority.Permit> request(QuarantineExchange asked) {
            int before = answers.size();
            asked.request(Set.of(deadly), answers::add);
            pair.await(() -> answers.size() > before);
            return answers.get(before);
        }

        private QuarantineExchange startOther() {
            return QuarantineExchange.start(
                    log, PART, pair.control(), () -> false, newQuarantine -> {});
        }

        @Test
        void shouldWritePermitBeforeItIsGranted() {
            holdBothParts(exchange);
            readUpTo(exchange, 0);

            assertThat(request(exchange)).isPresent();

            assertThat(writtenRecords().get(0).key()).isEqualTo(deadly.key() + "/trial-1");
        }

        // Guards against two daemons that try the same part on the same evidence.
        @Test
        void shouldGrantNothingWhenAnotherDaemonWroteFirst() {
            QuarantineExchange otherExchange = startOther();
            holdBothParts(exchange);
            holdBothParts(otherExchange);
            readUpTo(exchange, 0);
            readUpTo(otherExchange, 0);

            assertThat(request(otherExchange)).isPresent();
            assertThat(request(exchange)).isEmpty();
        }

        // Guards against trials that are granted anew by each daemon that starts.
        @Test
        void shouldCountPermitsOfOtherDaemons() {
            holdBothParts(exchange);
            readUpTo(exchange, 0);
            request(exchange);
            QuarantineExchange startedLater = startOther();
            holdBothParts(startedLater);

            pair.onControl(() -> startedLater.onListing(writtenRecords()));
            readUpTo(startedLater, 1);

            assertThat(request(startedLater)).isEmpty();
        }

        @Test
        void shouldGrantNothingWhileListingAnew() {
            holdBothParts(exchange);

            assertThat(request(exchange)).isEmpty();
        }

        // Guards against a permit that may be written, and is used although another one follows.
        @Test
        void shouldGrantNothingWhenAnswerOfStoreIsLost() {
            holdBothParts(exchange);
            readUpTo(exchange, 0);
            pair.onControl(log::loseNextAnswer);

            assertThat(request(exchange)).isEmpty();
        }

        // Guards against a permit that is lost although no request was sent with it.
        @Test
        void shouldGrantAgainWhenPermitIsGivenBack() {
            holdBothParts(exchange);
            readUpTo(exchange, 0);
            request(exchange).orElseThrow().giveBack();
            pair.await(() -> log.records().size() == 2);
            readUpTo(exchange, 2);

            // The removal counts as written only after the store's answer.
            Optional<TrialAuthority.Permit> second = request(exchange);
            for (int attempt = 0; second.isEmpty() && attempt < 10; attempt++) {
                second = request(exchange);
            }
            assertThat(second).isPresent();
        }
    }
}
