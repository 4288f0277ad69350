package org.tamaracktrack.bench.endtoend;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.extension.ExtendWith;
import org.tamaracktrack.bench.caller.Caller;
import org.tamaracktrack.bench.caller.CallerKey;
import org.tamaracktrack.bench.caller.ModelRequest;
import org.tamaracktrack.bench.caller.Observation;
import org.tamaracktrack.bench.caller.Outcome;
import org.tamaracktrack.bench.caller.ServiceRequest;
import org.tamaracktrack.bench.stack.LocalStack;
import org.tamaracktrack.bench.stack.RunCounts;
import org.tamaracktrack.bench.stack.SampleAccounts;
import org.tamaracktrack.standins.http.Sha256;

@Timeout(60)
@ExtendWith(SharedStackExtension.class)
class RequestPathTest {
    private final Caller caller = Caller.of();

    private void assertWhole(String address, ModelRequest request) {
        assertWithMessage("%s", request)
                .that(caller.send(address, request).join().outcome())
                .isEqualTo(Outcome.WHOLE);
    }

    @Nested
    class Models {
        @Test
        void shouldAnswerEveryModelThroughEveryEntryDaemon(LocalStack stack) {
            stack.entries()
                    .forEach(
                            entry ->
                                    SampleAccounts.requestsToEveryModel(
                                                    SharedStackExtension.newPrompt())
                                            .forEach(
                                                    request ->
                                                            assertWhole(
                                                                    entry.httpAddress(), request)));
        }

        @Test
        void shouldStreamEveryModelToTheEnd(LocalStack stack) {
            SampleAccounts.requestsToEveryModel(SharedStackExtension.newPrompt())
                    .forEach(
                            request ->
                                    assertWhole(
                                            stack.entry(0).httpAddress(), request.streamed(30)));
        }

        @Test
        void shouldUseTheRequestedAdapter(LocalStack stack) {
            ModelRequest request =
                    ModelRequest.of(
                                    SampleAccounts.CEVALLOS,
                                    "order-reader",
                                    SharedStackExtension.newPrompt())
                            .withAdapter("quito-south");
            assertWhole(stack.entry(1).httpAddress(), request);
        }

        @Test
        void shouldHideTheModelsOfOtherAccounts(LocalStack stack) {
            ModelRequest request =
                    ModelRequest.of(
                            SampleAccounts.CEVALLOS,
                            "history-writer",
                            SharedStackExtension.newPrompt());
            Observation observation = caller.send(stack.entry(0).httpAddress(), request).join();
            assertThat(observation.outcome()).isEqualTo(Outcome.NOT_RUN);
            assertThat(observation.code()).isEqualTo("UNKNOWN_MODEL");
        }

        @Test
        void shouldRefuseAnUnknownKey(LocalStack stack) {
            ModelRequest request =
                    ModelRequest.of(
                            new CallerKey("cevallos", "wrong"),
                            "order-reader",
                            SharedStackExtension.newPrompt());
            Observation observation = caller.send(stack.entry(0).httpAddress(), request).join();
            assertThat(observation.status()).isEqualTo(401);
        }
    }

    @Nested
    class Services {
        @Test
        void shouldForwardMethodPathAndBody(LocalStack stack) {
            List.of("GET", "POST", "PUT", "DELETE")
                    .forEach(
                            method -> {
                                String body =
                                        method.equals("GET")
                                                ? ""
                                                : SharedStackExtension.newPrompt();
                                ServiceRequest request =
                                        SampleAccounts.serviceRequest(
                                                SampleAccounts.KTIMATOLOGOS,
                                                method,
                                                body,
                                                Optional.empty());
                                String address = stack.entry(0).httpAddress();
                                assertWithMessage(method)
                                        .that(caller.send(address, request).join().outcome())
                                        .isEqualTo(Outcome.WHOLE);
                            });
        }
    }

    @Nested
    class IdempotencyKeys {
        @Test
        void shouldRunOnceWhenTwoEntryDaemonsReceiveTheSameKeyConcurrently(LocalStack stack) {
            // Guards against two runs of a request with an idempotency key. A client library
            // retries
            // a request through the balancer while the first attempt is in progress, so both entry
            // daemons hold the same key concurrently. The first claim in the log wins; the other
            // request is refused and not run.
            IntStream.range(0, 10).forEach(round -> assertRunsOnce(stack, "key-" + round));
        }

        private void assertRunsOnce(LocalStack stack, String key) {
            ServiceRequest request =
                    SampleAccounts.serviceRequest(
                            SampleAccounts.CEVALLOS,
                            "POST",
                            SharedStackExtension.newPrompt(),
                            Optional.of(key));
            List<Observation> observations =
                    stack.entries().stream()
                            .map(entry -> caller.send(entry.httpAddress(), request))
                            .toList()
                            .stream()
                            .map(future -> future.join())
                            .toList();
            assertThat(RunCounts.of(stack).runsOf(Sha256.hex(request.body()))).isEqualTo(1);
            assertWithMessage("%s", observations)
                    .that(
                            observations.stream()
                                    .filter(answer -> answer.outcome() == Outcome.WHOLE)
                                    .count())
                    .isEqualTo(1);
            assertThat(
                            observations.stream()
                                    .filter(answer -> answer.outcome() != Outcome.WHOLE)
                                    .map(Observation::code)
                                    .toList())
                    .containsAnyOf("KEY_IN_USE", "KEY_ALREADY_RAN");
        }
    }
}
