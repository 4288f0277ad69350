package org.tamaracktrack.link.http;

/**
 * The bounds of the parts of an answer that an HTTP parser keeps in memory or skips.
 *
 * @param headBytes the maximum size of a head in bytes
 * @param headLines the maximum number of lines of a head, including the status line
 * @param headMillis the time limit for a head after its first byte, in milliseconds
 * @param interimAnswers the maximum number of interim answers before the final one
 * @param chunkLineBytes the maximum size in bytes of the line with the size of a chunk
 * @param trailerBytes the maximum size of a trailer in bytes
 */
record AnswerBounds(
        int headBytes,
        int headLines,
        long headMillis,
        int interimAnswers,
        int chunkLineBytes,
        int trailerBytes) {
    private static final int KIB = 1_024;
    private static final int HEAD_LINES = 200;
    private static final long HEAD_MILLIS = 10_000;
    private static final int INTERIM_ANSWERS = 16;

    static AnswerBounds standard() {
        return new AnswerBounds(
                64 * KIB, HEAD_LINES, HEAD_MILLIS, INTERIM_ANSWERS, 4 * KIB, 16 * KIB);
    }

    AnswerBounds withHeadMillis(long millis) {
        return new AnswerBounds(
                headBytes, headLines, millis, interimAnswers, chunkLineBytes, trailerBytes);
    }
}
