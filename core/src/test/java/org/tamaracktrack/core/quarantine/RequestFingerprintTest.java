package org.tamaracktrack.core.quarantine;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.tamaracktrack.core.error.ErrorCode;
import org.tamaracktrack.core.error.TamaracktrackException;

class RequestFingerprintTest {
    private static RequestFingerprint of(String host, String path, String body) {
        return RequestFingerprint.of("POST", host, path, body.getBytes(StandardCharsets.UTF_8));
    }

    @Test
    void shouldBeEqualWhenRequestIsRepeated() {
        assertThat(of("host", "/p", "body")).isEqualTo(of("host", "/p", "body"));
    }

    @Test
    void shouldDifferWhenHostPathOrBodyDiffer() {
        RequestFingerprint fingerprint = of("host", "/p", "body");

        assertThat(of("another", "/p", "body")).isNotEqualTo(fingerprint);
        assertThat(of("host", "/q", "body")).isNotEqualTo(fingerprint);
        assertThat(of("host", "/p", "bodies")).isNotEqualTo(fingerprint);
    }

    // Guards against different requests with the same fingerprint, because the end of one part is
    // read as the beginning of the next.
    @Test
    void shouldDifferWhenConcatenatedPartsAreEqual() {
        assertThat(of("a", "bc", "d")).isNotEqualTo(of("a", "b", "cd"));
    }

    @Test
    void shouldRejectTextThatIsNoFingerprint() {
        TamaracktrackException refused =
                assertThrows(TamaracktrackException.class, () -> new RequestFingerprint("x"));

        assertThat(refused.code()).isEqualTo(ErrorCode.BAD_IDENTIFIER);
    }
}
