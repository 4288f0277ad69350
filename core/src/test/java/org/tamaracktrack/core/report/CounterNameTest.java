package org.tamaracktrack.core.report;

import static com.google.common.truth.Truth.assertThat;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.tamaracktrack.core.error.ErrorCode;
import org.tamaracktrack.core.id.ClientAccountId;
import org.tamaracktrack.core.id.ModelId;
import org.tamaracktrack.core.id.RequestClassId;
import org.tamaracktrack.core.id.TargetId;

class CounterNameTest {

    @Property(seed = "11")
    void shouldParseTheWrittenTextWhenTheCounterIsAMove(
            @ForAll MoveKind kind, @ForAll MoveCause cause) {
        CounterName name = new CounterName.Moves(TargetId.of("runner-1"), kind, cause);

        assertThat(CounterName.parse(name.text())).hasValue(name);
    }

    @Property(seed = "12")
    void shouldParseTheWrittenTextWhenTheOutcomeIsARefusal(@ForAll ErrorCode code) {
        CounterName name =
                new CounterName.Requests(
                        ClientAccountId.of("north"),
                        "approval",
                        RequestClassId.of("interactive"),
                        RequestOutcome.refused(code));

        assertThat(CounterName.parse(name.text())).hasValue(name);
    }

    @Test
    void shouldUseTheDocumentedFormatWhenWritten() {
        CounterName tokens =
                new CounterName.Tokens(
                        ClientAccountId.of("north"),
                        ModelId.of("approval"),
                        RequestClassId.of("batch"),
                        CounterName.TokenKind.ANSWER);

        assertThat(tokens.text()).isEqualTo("tokens|north|approval|batch|answer");
        assertThat(RequestOutcome.refused(ErrorCode.OVERLOADED).text())
                .isEqualTo("refused:OVERLOADED");
    }

    @Test
    void shouldReturnEmptyWhenTheNameIsOfAnUnknownFormat() {
        assertThat(CounterName.parse("requests|north|approval|batch|refused")).isEmpty();
        assertThat(CounterName.parse("joules|runner-1")).isEmpty();
        assertThat(CounterName.parse("moves|two words|load_model|home")).isEmpty();
        assertThat(CounterName.parse("")).isEmpty();
    }
}
