package org.tamaracktrack.core.claim;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.Optional;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;
import org.tamaracktrack.core.error.ErrorCode;
import org.tamaracktrack.core.error.TamaracktrackException;

class KeyAgeTest {
    private static final long WINDOW_MILLIS = 100_000;

    @Test
    void shouldReadTheTimeWhenTheKeyIsATimeOrderedUuid() {
        assertThat(KeyAge.createdAtMillis("017f22e2-79b0-7cc3-98c4-dc0c0c07398f", Optional.empty()))
                .isEqualTo(OptionalLong.of(1_645_557_742_000L));
    }

    @Test
    void shouldReadTheHeaderWhenThereIsOne() {
        assertThat(KeyAge.createdAtMillis("k", Optional.of("1970-01-01T00:00:01Z")))
                .isEqualTo(OptionalLong.of(1_000));
        assertThat(KeyAge.createdAtMillis("k", Optional.empty())).isEmpty();
    }

    @Test
    void shouldRefuseWhenTheHeaderIsNotATime() {
        TamaracktrackException failure =
                assertThrows(
                        TamaracktrackException.class,
                        () -> KeyAge.createdAtMillis("k", Optional.of("yesterday")));

        assertThat(failure.code()).isEqualTo(ErrorCode.BAD_REQUEST);
    }

    @Test
    void shouldRefuseWhenTheKeyIsTooOldOrFromTheFuture() {
        OptionalLong created = OptionalLong.of(1_000_000);

        assertThat(KeyAge.check(created, 1_090_000, WINDOW_MILLIS)).isEmpty();
        assertThat(KeyAge.check(created, 1_090_001, WINDOW_MILLIS)).hasValue(ErrorCode.KEY_EXPIRED);
        assertThat(KeyAge.check(created, 990_000, WINDOW_MILLIS)).isEmpty();
        assertThat(KeyAge.check(created, 989_999, WINDOW_MILLIS)).hasValue(ErrorCode.BAD_REQUEST);
    }
}
