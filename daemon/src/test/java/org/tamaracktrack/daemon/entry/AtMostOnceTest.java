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

/** Tests that a request with an idempotency key runs at most once across two entry daemons. */
@Timeout(60)
class AtMostOnceTest {
    private final InMemoryLogClient log = new InMemoryLogClient();
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
                            target.setBehaviour(
                                    (connection, submit) -> {
                                        runs.incrementAndGet();
                                        target.sendWholeAnswer(connection, submit, "charged");
                                    });
                            target.announceOwnership(log);
                        });
        List.of(first, second)
                .forEach(
                        entry ->
                                EntryFixture.await(
                                        () ->
                                                entry.callOnControlThread(
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

    // A client that retries immediately through the load balancer sends the same key to both
    // daemons at the same time. The service must be called once; the other requests get the error
    // that the key is in use.
    @Test
    void shouldRunOnceWhenTwoDaemonsReceiveTheKeyConcurrently() {
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
    void shouldAnswerKeyAlreadyRanWhenTheKeyIsReusedThroughAnotherDaemon() {
        assertThat(first.call(charge(first, "order-1")).body()).isEqualTo("charged");

        EntryFixture.await(
                () -> second.call(charge(second, "order-1")).body().contains("KEY_ALREADY_RAN"));
        assertThat(runs.get()).isEqualTo(1);
    }

    @Test
    void shouldRunTwiceWhenTwoAccountsUseTheSameKey() {
        first.call(charge(first, "order-1"));
        HttpRequest.Builder otherAccountRequest =
                charge(first, "order-1")
                        .setHeader("Authorization", "Bearer " + EntryFixture.OTHER_KEY);

        assertThat(first.call(otherAccountRequest).statusCode()).isEqualTo(200);
        assertThat(runs.get()).isEqualTo(2);
    }

    // The log stores the claim, but the answer to the append is lost. The daemon finds the claim
    // when it reads the log, so the request runs once and a second one with the key is refused.
    @Test
    void shouldRunOnceWhenTheAnswerToTheAppendIsLost() {
        log.loseNextAnswers(1);

        assertThat(first.call(charge(first, "order-2")).statusCode()).isEqualTo(200);
        assertThat(second.call(charge(second, "order-2")).statusCode()).isEqualTo(409);
        assertThat(runs.get()).isEqualTo(1);
    }

    // While the log is unavailable no key can be claimed. The caller must immediately get an error
    // that states that nothing ran and when to retry; requests that may be repeated are still
    // served.
    @Test
    void shouldRefuseImmediatelyWhenTheLogIsUnavailable() {
        log.setUnavailable(true);
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
    void shouldRefuseWhenTheKeyIsReusedWithAnotherBody() {
        first.call(charge(first, "order-4"));
        HttpRequest.Builder requestWithAnotherBody =
                first.request("/v1/services/charges/charge")
                        .POST(HttpRequest.BodyPublishers.ofString("13 dollars"))
                        .header("Idempotency-Key", "order-4");

        assertThat(first.call(requestWithAnotherBody).statusCode()).isEqualTo(422);
        assertThat(runs.get()).isEqualTo(1);
    }

    @Test
    void shouldRefuseWhenTheKeyIsOlderThanTheWindow() {
        HttpRequest.Builder requestWithExpiredKey =
                charge(first, "order-5").header("Idempotency-Key-Created", "2020-01-01T00:00:00Z");

        assertThat(first.call(requestWithExpiredKey).body()).contains("KEY_EXPIRED");
        assertThat(runs.get()).isEqualTo(0);
    }
}
