package org.tamaracktrack.core.quarantine;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.tamaracktrack.core.dispatch.PromptPart;
import org.tamaracktrack.core.error.ErrorCode;
import org.tamaracktrack.core.error.TamaracktrackException;
import org.tamaracktrack.core.id.ServiceId;

class SuspectTest {
    private static final ServiceId SERVICE = ServiceId.of("engines");

    private static PromptPart part(String id) {
        return new PromptPart(id, 40);
    }

    @Test
    void shouldParseKeyOfRequestAndPart() {
        Suspect request = RequestFingerprint.of("POST", "host", "/", new byte[0]);
        Suspect part = PartFingerprint.of(SERVICE, part("a1"));

        assertThat(Suspect.parse(request.key())).isEqualTo(request);
        assertThat(Suspect.parse(part.key())).isEqualTo(part);
    }

    @Test
    void shouldRejectTextThatIsNoKey() {
        TamaracktrackException failure =
                assertThrows(TamaracktrackException.class, () -> Suspect.parse("part-1"));

        assertThat(failure.code()).isEqualTo(ErrorCode.BAD_IDENTIFIER);
    }

    // Guards against a part that is held at a service whose targets it did not harm.
    @Test
    void shouldTellPartsOfDifferentServicesApart() {
        assertThat(PartFingerprint.of(SERVICE, part("a1")))
                .isNotEqualTo(PartFingerprint.of(ServiceId.of("other"), part("a1")));
    }

    @Test
    void shouldIgnoreLengthOfPart() {
        assertThat(PartFingerprint.of(SERVICE, new PromptPart("a1", 1)))
                .isEqualTo(PartFingerprint.of(SERVICE, new PromptPart("a1", 2)));
    }

    // Guards against a prompt that names one part many times, or very many parts.
    @Test
    void shouldCountEachPartOnceAndNoMoreThan64() {
        List<PromptPart> parts =
                IntStream.range(0, 1_000)
                        .mapToObj(number -> part("p" + number / 2))
                        .collect(Collectors.toList());

        assertThat(PartFingerprint.ofAll(SERVICE, parts)).hasSize(32);
        assertThat(PartFingerprint.ofAll(SERVICE, parts)).containsNoDuplicates();
    }
}
