package org.tamaracktrack.standins.weights;

import static com.google.common.truth.Truth.assertThat;

import java.util.OptionalLong;
import org.junit.jupiter.api.Test;

class TransferBookTest {

    @Test
    void shouldTakeLongerWhenCrowded() {
        TransferBook book = TransferBook.of(100, 2, 1000, 0);
        assertThat(book.start(500, 0)).isEqualTo(OptionalLong.of(500));
        assertThat(book.start(500, 0)).isEqualTo(OptionalLong.of(500));
        assertThat(book.start(500, 1000)).isEqualTo(OptionalLong.of(750));
    }

    @Test
    void shouldRefuseOverTheRate() {
        TransferBook book = TransferBook.of(1, 2, 1000, 0);
        book.start(1, 0);
        book.start(1, 0);
        assertThat(book.start(1, 0)).isEqualTo(OptionalLong.empty());
        assertThat(book.start(1, 1000)).isNotEqualTo(OptionalLong.empty());
        assertThat(book.state()).isEqualTo(new TransferBook.State(3, 3, 3, 1));
    }

    @Test
    void shouldBeSlowAsTold() {
        TransferBook book = TransferBook.of(1, 2, 1000, 0);
        book.slow(4);
        assertThat(book.start(500, 0)).isEqualTo(OptionalLong.of(2000));
    }
}
