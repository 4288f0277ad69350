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
    private volatile Quarantine told = Quarantine.empty();

    @BeforeEach
    void start() throws IOException {
        pair = RelayPair.start();
        exchange =
                QuarantineExchange.start(
                        log, PART, pair.control(), () -> false, newer -> told = newer);
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

    private List<KeyedRecord> written() {
        return IntStream.range(0, log.records().size())
                .mapToObj(offset -> log.keyed(log.records().get(offset), offset).orElseThrow())
                .collect(Collectors.toList());
    }

    @Test
    void shouldHoldARequestAndWriteItsEndsDown() {
        exchange.onEnded(ends(3));

        pair.await(() -> told.held().contains(REQUEST));
        pair.await(() -> log.records().size() == 3);
    }

    // Guards against ends that are known to one daemon only.
    @Test
    void shouldHoldARequestWhenOthersWroteItsEnds() {
        exchange.onEnded(ends(3));
        pair.await(() -> log.records().size() == 3);
        Quarantine[] other = {Quarantine.empty()};
        QuarantineExchange another =
                QuarantineExchange.start(
                        new InMemoryTopicClient(),
                        PART,
                        pair.control(),
                        () -> false,
                        now -> other[0] = now);

        pair.onControl(() -> another.onListing(written()));

        pair.await(() -> other[0].held().contains(REQUEST));
    }

    // Guards against ends that are lost because the store was away.
    @Test
    void shouldWriteAgainWhenTheAnswerIsLost() {
        log.loseNextAnswer();

        exchange.onEnded(ends(1));

        pair.await(() -> log.records().size() == 2);
        assertThat(written().get(0).key()).isEqualTo(written().get(1).key());
    }

    @Test
    void shouldDropTheEndsWhenTheRequestIsAnswered() {
        exchange.onEnded(ends(2));
        pair.await(() -> log.records().size() == 2);

        exchange.onAnswered(REQUEST);

        pair.await(() -> log.records().size() == 4);
        assertThat(told.isEmpty()).isTrue();
        assertThat(written().get(3).value()).isEqualTo(Optional.empty());
    }

    // Guards against an answer that is forgotten because the end was still being written.
    @Test
    void shouldDropAnEndThatWasBeingWrittenWhenTheRequestIsAnswered() {
        CompletableFuture<Void> go = new CompletableFuture<>();
        pair.onControl(() -> log.holdAppends(go));
        exchange.onEnded(ends(1));
        pair.await(() -> log.records().size() == 1);

        exchange.onAnswered(REQUEST);
        pair.onControl(() -> go.complete(null));

        pair.await(() -> log.records().size() == 2);
        assertThat(written().get(1).value()).isEqualTo(Optional.empty());
    }

    @Test
    void shouldPassOverARecordThatIsNoEnd() {
        pair.onControl(
                () ->
                        exchange.onRecords(
                                List.of(
                                        new KeyedRecord("other", Optional.of(new byte[] {1}), 0),
                                        new KeyedRecord("other", Optional.empty(), 1))));

        assertThat(told.isEmpty()).isTrue();
    }
}
