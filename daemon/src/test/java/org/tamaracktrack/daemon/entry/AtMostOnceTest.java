package org.tamaracktrack.daemon.entry;

import static com.google.common.truth.Truth.assertThat;

import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.tamaracktrack.core.error.ErrorCode;
import org.tamaracktrack.daemon.runtime.ControlThread;

/** Point 5: a keyed request that may not be repeated runs at most once, through two daemons. */
@Timeout(60)
class AtMostOnceTest {
    private final MemoryLog log = new MemoryLog();
    private final AtomicInteger runs = new AtomicInteger();
    private EntryFixture first;
    private EntryFixture second;

    @BeforeEach
    void start() {
        first = EntryFixture.start(log, "entry-1", 5_000);
        second = EntryFixture.start(log, "entry-2", 5_000);
        List.of(first, second)
                .forEach(
                        entry -> {
                            FakeTarget target = entry.target("service-1");
                            target.behave(
                                    (connection, submit) -> {
                                        runs.incrementAndGet();
                                        target.whole(connection, submit, "charged");
                                    });
                            target.own(log);
                        });
        List.of(first, second)
                .forEach(
                        entry ->
                                EntryFixture.await(
                                        () ->
                                                entry.onControl(
                                                                () ->
                                                                        entry.role
                                                                                .targets()
                                                                                .targets()
                                                                                .size())
                                                        == 1));
    }

    @AfterEach
    void stop() {
        first.close();
        second.close();
    }

    private static HttpRequest.Builder charge(EntryFixture entry, String key) {
        return entry.request("/v1/services/charges/charge")
                .POST(HttpRequest.BodyPublishers.ofString("12 dollars"))
                .header("Idempotency-Key", key);
    }

    // The caller's client retries at once through the balancer: the same key reaches both daemons
    // at the same moment. One charge is made; the other call learns that the key is taken.
    @Test
    void shouldRunOnceWhenBothDaemonsGetTheKeyAtTheSameMoment() {
        List<CompletableFuture<HttpResponse<String>>> answers =
                IntStream.range(0, 20)
                        .mapToObj(
                                number ->
                                        (number % 2 == 0 ? first : second)
                                                .send(
                                                        charge(
                                                                number % 2 == 0 ? first : second,
                                                                "order-1")))
                        .toList();
        ConcurrentHashMap<Integer, Integer> statuses = new ConcurrentHashMap<>();
        answers.forEach(answer -> statuses.merge(answer.join().statusCode(), 1, Integer::sum));

        assertThat(runs.get()).isEqualTo(1);
        assertThat(statuses).containsExactly(200, 1, 409, 19);
    }

    @Test
    void shouldSayThatItRanWhenTheKeyComesAgainThroughTheOtherDaemon() {
        assertThat(first.call(charge(first, "order-1")).body()).isEqualTo("charged");

        EntryFixture.await(
                () -> second.call(charge(second, "order-1")).body().contains("KEY_ALREADY_RAN"));
        assertThat(runs.get()).isEqualTo(1);
    }

    @Test
    void shouldRunTwiceWhenTwoAccountsUseTheSameKey() {
        first.call(charge(first, "order-1"));
        HttpRequest.Builder other =
                charge(first, "order-1")
                        .setHeader("Authorization", "Bearer " + EntryFixture.OTHER_KEY);

        assertThat(first.call(other).statusCode()).isEqualTo(200);
        assertThat(runs.get()).isEqualTo(2);
    }

    // The log takes the claim and its answer is lost. Read back, it is there: the charge is made,
    // once, and the key is known to have run.
    @Test
    void shouldRunOnceWhenTheLogsAnswerIsLost() {
        log.loseAnswers(1);

        assertThat(first.call(charge(first, "order-2")).statusCode()).isEqualTo(200);
        assertThat(second.call(charge(second, "order-2")).statusCode()).isEqualTo(409);
        assertThat(runs.get()).isEqualTo(1);
    }

    // During an outage no key can be claimed: the caller hears at once that nothing ran and when
    // to try again; calls that may be repeated go on.
    @Test
    void shouldRefuseAtOnceWhenTheLogIsOut() {
        log.out(true);
        long before = ControlThread.nowMillis();

        HttpResponse<String> answer = first.call(charge(first, "order-3"));

        assertThat(ControlThread.nowMillis() - before).isLessThan(1_000L);
        assertThat(answer.body()).contains("\"code\":\"" + ErrorCode.CLAIM_UNAVAILABLE + "\"");
        assertThat(answer.body()).contains("\"ran\":\"no\"");
        assertThat(answer.headers().firstValue("retry-after")).isPresent();
        assertThat(runs.get()).isEqualTo(0);
        assertThat(first.call(first.request("/v1/services/charges/x").GET()).statusCode())
                .isEqualTo(200);
    }

    @Test
    void shouldRefuseWhenTheKeyComesWithAnotherBody() {
        first.call(charge(first, "order-4"));
        HttpRequest.Builder other =
                first.request("/v1/services/charges/charge")
                        .POST(HttpRequest.BodyPublishers.ofString("13 dollars"))
                        .header("Idempotency-Key", "order-4");

        assertThat(first.call(other).statusCode()).isEqualTo(422);
        assertThat(runs.get()).isEqualTo(1);
    }

    @Test
    void shouldRefuseWhenTheKeyIsOlderThanTheWindow() {
        HttpRequest.Builder old =
                charge(first, "order-5").header("Idempotency-Key-Created", "2020-01-01T00:00:00Z");

        assertThat(first.call(old).body()).contains("KEY_EXPIRED");
        assertThat(runs.get()).isEqualTo(0);
    }
}
