package org.tamaracktrack.daemon.entry;

import static com.google.common.truth.Truth.assertThat;

import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(60)
class EntryRoleTest {
    private EntryFixture entry;

    @BeforeEach
    void start() {
        entry = EntryFixture.start();
    }

    @AfterEach
    void stop() {
        entry.close();
    }

    @Nested
    class Answers {
        @Test
        void shouldForwardTheAnswerWithItsLengthWhenItIsNotStreamed() {
            FakeTarget target = entry.target("engine-1");
            target.setBehaviour(
                    (connection, submit) ->
                            target.sendWholeAnswer(connection, submit, "{\"a\":1}"));
            entry.addTargets(target);

            HttpResponse<String> answer = entry.call(entry.completion(""));

            assertThat(answer.statusCode()).isEqualTo(200);
            assertThat(answer.body()).isEqualTo("{\"a\":1}");
            assertThat(answer.headers().firstValue("content-length")).hasValue("7");
        }

        @Test
        void shouldForwardEventsWhenTheCallerRequestsAStream() {
            FakeTarget target = entry.target("engine-1");
            target.setBehaviour(
                    (connection, submit) -> {
                        target.sendStarted(connection, submit, "text/event-stream");
                        target.sendChunk(connection, submit, 0, "data: 1\n\n");
                        target.sendChunk(connection, submit, 1, "data: [DONE]\n\n");
                        target.sendFinished(connection, submit, 2);
                    });
            entry.addTargets(target);

            HttpResponse<String> answer = entry.call(entry.completion(",\"stream\":true"));

            assertThat(answer.body()).isEqualTo("data: 1\n\ndata: [DONE]\n\n");
            assertThat(answer.headers().firstValue("content-type")).hasValue("text/event-stream");
        }

        @Test
        void shouldListOnlyTheModelsOfTheAccount() {
            HttpResponse<String> answer = entry.call(entry.request("/v1/models").GET());

            assertThat(answer.body()).contains("\"approval\"");
            assertThat(answer.body()).contains("\"approval+north\"");
            assertThat(answer.body()).doesNotContain("history");
        }

        @Test
        void shouldKeepMethodPathQueryAndBodyWhenAServiceIsCalled() throws Exception {
            FakeTarget target = entry.target("service-1");
            target.setBehaviour(
                    (connection, submit) -> target.sendWholeAnswer(connection, submit, "ok"));
            entry.addTargets(target);

            entry.call(
                    entry.request("/v1/services/charges/orders/a%20b?x=1&y=%2F")
                            .method("PATCH", HttpRequest.BodyPublishers.ofString("body")));

            FakeTarget.ReceivedSubmit arrived = target.takeSubmit();
            assertThat(arrived.submit().method()).isEqualTo("PATCH");
            assertThat(arrived.submit().path()).isEqualTo("/orders/a%20b?x=1&y=%2F");
            assertThat(new String(arrived.submit().body())).isEqualTo("body");
            assertThat(arrived.submit().idempotent()).isFalse();
        }
    }
}
