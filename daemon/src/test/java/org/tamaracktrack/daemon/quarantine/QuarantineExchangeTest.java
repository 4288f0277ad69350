package org.tamaracktrack.daemon.quarantine;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.tamaracktrack.core.fleet.TargetIncarnation;
import org.tamaracktrack.core.id.TargetId;
import org.tamaracktrack.core.quarantine.Quarantine;
import org.tamaracktrack.core.quarantine.RequestFingerprint;
import org.tamaracktrack.core.quarantine.TargetEnd;
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
}
