package org.tamaracktrack.daemon.gateway;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

class PieceTimesTest {
    private final PieceTimes pieces = PieceTimes.since(1_000);

    @Test
    void shouldHaveNoFirstPieceTimeBeforeTheFirstPiece() {
        assertThat(pieces.firstMillis()).isEqualTo(-1);
        assertThat(pieces.longestGapMillis()).isEqualTo(0);
    }

    // The time to the first piece does not count as a pause between two pieces.
    @Test
    void shouldMeasureTheLongestPauseBetweenTwoPieces() {
        pieces.recordPiece(1_300);
        pieces.recordPiece(1_330);
        pieces.recordPiece(1_430);
        pieces.recordPiece(1_440);

        assertThat(pieces.firstMillis()).isEqualTo(300);
        assertThat(pieces.longestGapMillis()).isEqualTo(100);
    }
}
