package org.tamaracktrack.bench.caller;

import static com.google.common.truth.Truth.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.tamaracktrack.link.codec.Codecs;
import org.tamaracktrack.standins.engine.AnswerText;
import org.tamaracktrack.standins.http.Sha256;

class AnswerCheckTest {
    private static final ModelRequest REQUEST =
            ModelRequest.of(new CallerKey("a", "k"), "m", "hello").streamed(2);

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private static String event(ModelRequest request, int index) {
        String usage =
                index == request.tokens() - 1
                        ? ",\"usage\":{\"completion_tokens\":" + request.tokens() + "}"
                        : "";
        return "data: {\"model\":\"m\",\"adapter\":null,\"prompt_sha256\":\""
                + request.promptHash()
                + "\",\"choices\":[{\"delta\":{\"content\":\""
                + AnswerText.token(request.promptHash(), index)
                + "\"}}]"
                + usage
                + "}\n\n";
    }

    private static String stream(ModelRequest request) {
        return IntStream.range(0, request.tokens())
                        .mapToObj(index -> event(request, index))
                        .collect(Collectors.joining())
                + "data: [DONE]\n\n";
    }

    private static Outcome check(String body) {
        return AnswerCheck.check(REQUEST, 200, bytes(body));
    }

    @Nested
    class Streams {
        @Test
        void shouldBeWholeWhenEveryTokenIsPresent() {
            assertThat(check(stream(REQUEST))).isEqualTo(Outcome.WHOLE);
        }

        @Test
        void shouldBeWrongWhenTheDoneEventIsMissing() {
            assertThat(check(event(REQUEST, 0) + event(REQUEST, 1))).isEqualTo(Outcome.WRONG);
        }

        @Test
        void shouldBeWrongWhenATokenIsMissingOrDuplicated() {
            String end = event(REQUEST, 1) + "data: [DONE]\n\n";
            assertThat(check(end)).isEqualTo(Outcome.WRONG);
            assertThat(check(event(REQUEST, 0) + event(REQUEST, 0) + end)).isEqualTo(Outcome.WRONG);
        }

        @Test
        void shouldBeWrongWhenItAnswersAnotherRequest() {
            ModelRequest other = ModelRequest.of(REQUEST.caller(), "m", "bye").streamed(2);
            assertThat(check(stream(other))).isEqualTo(Outcome.WRONG);
        }
    }

    @Nested
    class Errors {
        @Test
        void shouldTellWhetherTheRequestRan() {
            byte[] notRun = bytes("{\"error\":{\"code\":\"OVERLOADED\",\"ran\":\"no\"}}");
            byte[] unknown =
                    bytes("{\"error\":{\"code\":\"OUTCOME_UNKNOWN\",\"ran\":\"unknown\"}}");
            assertThat(AnswerCheck.check(REQUEST, 429, notRun)).isEqualTo(Outcome.NOT_RUN);
            assertThat(AnswerCheck.check(REQUEST, 502, unknown)).isEqualTo(Outcome.MAY_HAVE_RUN);
            assertThat(AnswerCheck.check(REQUEST, 502, bytes(""))).isEqualTo(Outcome.MAY_HAVE_RUN);
            assertThat(AnswerCheck.errorCode(notRun)).isEqualTo("OVERLOADED");
        }
    }

    @Nested
    class Services {
        private final ServiceRequest request =
                new ServiceRequest(REQUEST.caller(), "s", "POST", "/x?y=1", "b", Optional.empty());

        private byte[] answer(String body) {
            return Codecs.encode(
                    Codecs.json(),
                    Map.of(
                            "service", "s",
                            "method", "POST",
                            "path", "/x?y=1",
                            "body_sha256", Sha256.hex(body)));
        }

        @Test
        void shouldRequireTheSameBody() {
            assertThat(AnswerCheck.check(request, 200, answer("b"))).isEqualTo(Outcome.WHOLE);
            assertThat(AnswerCheck.check(request, 200, answer("c"))).isEqualTo(Outcome.WRONG);
        }
    }
}
