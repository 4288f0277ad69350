package org.tamaracktrack.core.quarantine;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.tamaracktrack.core.error.ErrorCode;
import org.tamaracktrack.core.error.TamaracktrackException;

class RequestFingerprintTest {
    private static RequestFingerprint of(String caller, String path, String body) {
        return RequestFingerprint.of(
                caller, "POST", "example", path, body.getBytes(StandardCharsets.UTF_8));
    }

    @Test
    void shouldBeTheSameWhenTheRequestComesAgain() {
        assertThat(of("caller", "/p", "body")).isEqualTo(of("caller", "/p", "body"));
    }

    @Test
    void shouldDifferWhenCallerPathOrBodyDiffer() {
        RequestFingerprint fingerprint = of("caller", "/p", "body");

        assertThat(of("another", "/p", "body")).isNotEqualTo(fingerprint);
        assertThat(of("caller", "/q", "body")).isNotEqualTo(fingerprint);
        assertThat(of("caller", "/p", "bodies")).isNotEqualTo(fingerprint);
    }

    // Guards against two requests that are one: the end of one part read as the begin of the next.
    @Test
    void shouldDifferWhenPartsRunTogether() {
        assertThat(of("a", "bc", "d")).isNotEqualTo(of("a", "b", "cd"));
    }

    @Test
    void shouldRefuseTextThatIsNoFingerprint() {
        TamaracktrackException refused =
                assertThrows(TamaracktrackException.class, () -> new RequestFingerprint("x"));

        assertThat(refused.code()).isEqualTo(ErrorCode.BAD_IDENTIFIER);
    }
}
