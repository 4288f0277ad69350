package org.tamaracktrack.core.quarantine;

import static com.google.common.truth.Truth.assertThat;

import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.tamaracktrack.core.dispatch.PromptPart;
import org.tamaracktrack.core.id.ServiceId;

class ProvenPartsTest {
    private final ProvenParts proven = ProvenParts.empty();

    private static PartFingerprint part(String id) {
        return PartFingerprint.of(ServiceId.of("engines"), new PromptPart(id, 40));
    }

    @Test
    void shouldForgetProofAfterHalfMinute() {
        proven.record(part("a"), 1_000);

        assertThat(proven.contains(part("a"), 31_000)).isTrue();
        assertThat(proven.contains(part("a"), 31_001)).isFalse();
    }

    // Guards against a part that new software can't read and that is excused as the old one could.
    @Test
    void shouldExcusePartForFiveSecondsOnly() {
        proven.record(part("a"), 1_000);

        assertThat(proven.excuses(part("a"), 6_000)).isTrue();
        assertThat(proven.excuses(part("a"), 6_001)).isFalse();
    }

    @Test
    void shouldNotContainPartThatWasNotAnswered() {
        assertThat(proven.contains(part("a"), 0)).isFalse();
    }

    // Guards against memory that grows with the number of parts that callers invent.
    @Test
    void shouldForgetOldestProofWhenFull() {
        IntStream.range(0, 5_000).forEach(number -> proven.record(part("p" + number), number));

        assertThat(proven.contains(part("p0"), 5_000)).isFalse();
        assertThat(proven.contains(part("p4999"), 5_000)).isTrue();
    }
}
