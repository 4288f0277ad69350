package org.tamaracktrack.daemon.quota;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.stream.Stream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.tamaracktrack.core.error.ErrorCode;
import org.tamaracktrack.core.error.TamaracktrackException;
import org.tamaracktrack.core.id.ClientAccountId;
import org.tamaracktrack.core.quota.Admission;
import org.tamaracktrack.core.quota.QuotaLimit;
import org.tamaracktrack.core.quota.QuotaMessage;

class QuotaRecordTest {

    static Stream<QuotaMessage> messages() {
        QuotaLimit limit = new QuotaLimit(ClientAccountId.of("north"), 7, 2_600.5, 2_600);
        return Stream.of(
                new QuotaMessage.Ping(1, 0.037, 27),
                new QuotaMessage.Pong(Long.MAX_VALUE, 3),
                new QuotaMessage.Ask(3, limit, 1_570),
                new QuotaMessage.Answer(3, Admission.Outcome.OVER_LIMIT, 412),
                new QuotaMessage.GiveBack(3));
    }

    @ParameterizedTest
    @MethodSource("messages")
    void shouldDecodeWhatWasEncoded(QuotaMessage message) {
        byte[] bytes = QuotaRecord.encode(message);

        assertThat(QuotaRecord.decode(bytes)).isEqualTo(message);
    }

    @Test
    void shouldReportMessageWithValuesOutOfRange() {
        byte[] vote = QuotaRecord.encode(new QuotaMessage.Ping(1, 1, 1));
        vote[vote.length - 9] = 0x7f;

        TamaracktrackException failure =
                assertThrows(TamaracktrackException.class, () -> QuotaRecord.decode(vote));
        assertThat(failure.code()).isEqualTo(ErrorCode.BAD_FRAME);
    }

    // Guards against a datagram of another program or version stopping the traffic thread.
    @Property(seed = "4401", tries = 2_000)
    void shouldDecodeOrReportArbitraryBytes(@ForAll byte[] bytes) {
        try {
            assertThat(QuotaRecord.decode(bytes)).isNotNull();
        } catch (TamaracktrackException unreadable) {
            assertThat(unreadable.code()).isAnyOf(ErrorCode.BAD_FRAME, ErrorCode.BAD_IDENTIFIER);
        }
    }
}
