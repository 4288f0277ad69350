package org.tamaracktrack.link.http;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Answers that break the grammar of HTTP/1.1, received at once and one byte at a time. */
class SpoiltAnswersTest {
    private static final String OK = "HTTP/1.1 200 OK\r\n";
    private static final String BODY = "hello";
    private static final String FIXED = "Content-Length: 5\r\n\r\n" + BODY;
    private static final String CHUNKED = OK + "Transfer-Encoding: chunked\r\n\r\n";
    private static final String LAST_CHUNK = "0\r\n\r\n";

    /** Returns how many bytes of an answer are accepted; empty when it is rejected. */
    private static Optional<Integer> check(String answer, int stepBytes) {
        byte[] bytes = answer.getBytes(StandardCharsets.ISO_8859_1);
        AnswerFraming framing = AnswerFraming.of(AnswerBounds.standard());
        framing.begin(false);
        int accepted = 0;
        try {
            for (int start = 0; start < bytes.length; start += stepBytes) {
                int end = Math.min(bytes.length, start + stepBytes);
                accepted += framing.check(ByteBuffer.wrap(bytes), start, end) - start;
            }
        } catch (AnswerRejectedException rejected) {
            return Optional.empty();
        }
        return Optional.of(accepted);
    }

    private static void assertRejected(String answer) {
        assertWithMessage("at once").that(check(answer, answer.length())).isEmpty();
        assertWithMessage("byte by byte").that(check(answer, 1)).isEmpty();
    }

    private static void assertAccepted(String answer) {
        assertThat(check(answer, answer.length())).hasValue(answer.length());
        assertThat(check(answer, 1)).hasValue(answer.length());
    }

    @Nested
    class Heads {

        // Guards against a status that is none.
        @ParameterizedTest
        @ValueSource(strings = {"000", "099", "00", "2000", "+20", "600", "999", "2 0"})
        void shouldRejectStatus(String status) {
            assertRejected("HTTP/1.1 " + status + " OK\r\n" + FIXED);
        }

        @ParameterizedTest
        @ValueSource(strings = {"O\0K", "O\u007fK", "\u0001"})
        void shouldRejectControlByteInReason(String reason) {
            assertRejected("HTTP/1.1 200 " + reason + "\r\n" + FIXED);
        }

        // Guards against a line that is no field and is passed on, or hides the length of the body.
        @ParameterizedTest
        @ValueSource(
                strings = {
                    " X: y\r\n",
                    "\tX: y\r\n",
                    " Content-Length: 3\r\n",
                    "X: y\r\n z\r\n",
                    "no field\r\n",
                    ": y\r\n",
                    "X Y: z\r\n",
                    "X\t: y\r\n",
                    "X\0Y: z\r\n",
                    "X\u0001: y\r\n",
                    "X\u007f: y\r\n",
                    "X\u00e9: y\r\n",
                    "X(Y): z\r\n",
                    "X: y\0z\r\n",
                    "X: y\u0001\r\n",
                    "X: y\rz\r\n"
                })
        void shouldRejectLineThatIsNoField(String line) {
            assertRejected(OK + line + FIXED);
            assertRejected(OK + "X-First: a\r\n" + line + FIXED);
        }

        // Guards against a body that is cut, because its length is stated in two ways.
        @ParameterizedTest
        @ValueSource(
                strings = {
                    "Content-Length: 5\r\nContent-Length: 8\r\n",
                    "Content-Length: 5\r\nContent-Length: x\r\n",
                    "Content-Length: 5\r\nContent-Length: \r\n",
                    "Content-Length: 5, 5\r\n",
                    "Content-Length: 5x\r\n",
                    "Content-Length: +5\r\n",
                    "Content-Length: 0x5\r\n",
                    "Content-Length: 5 5\r\n",
                    "Content-Length: \r\n",
                    "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
                    "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n"
                })
        void shouldRejectLength(String lines) {
            assertRejected(OK + lines + "\r\n" + BODY + "abc");
        }

        // Guards against a body that holds the sizes of its chunks.
        @ParameterizedTest
        @ValueSource(
                strings = {
                    "chunke",
                    "xchunked",
                    "\"chunked\"",
                    "chunked, identity",
                    "gzip, chunked",
                    "chunked, chunked",
                    "identity",
                    "",
                    "chunked\r\nTransfer-Encoding: chunked",
                    "identity\r\nTransfer-Encoding: chunked"
                })
        void shouldRejectTransferCoding(String coding) {
            assertRejected(
                    OK
                            + "Transfer-Encoding: "
                            + coding
                            + "\r\n\r\n5\r\n"
                            + BODY
                            + "\r\n"
                            + LAST_CHUNK);
        }

        @ParameterizedTest
        @ValueSource(strings = {"identity", "chunked"})
        void shouldRejectTransferCodingOfOldVersion(String coding) {
            assertRejected(
                    "HTTP/1.0 200 OK\r\nTransfer-Encoding: " + coding + "\r\n\r\n" + LAST_CHUNK);
        }
    }

    @Nested
    class Chunks {

        // Guards against a body that is cut or ends early, because the size of a chunk is spoilt.
        @ParameterizedTest
        @ValueSource(
                strings = {"5x", "5 6", "5\0", "0x5", "x5", "-5", "+5", "", " 5", "5;\0", "5;a\rb"})
        void shouldRejectSize(String size) {
            assertRejected(CHUNKED + size + "\r\n" + BODY + "\r\n" + LAST_CHUNK);
        }

        @ParameterizedTest
        @ValueSource(strings = {"0x", "00 1", "0\0", "x"})
        void shouldRejectLastSize(String size) {
            assertRejected(CHUNKED + "5\r\n" + BODY + "\r\n" + size + "\r\n\r\n");
        }

        @ParameterizedTest
        @ValueSource(strings = {"\r", "x\r\n", "\r\r\n"})
        void shouldRejectEndOfChunk(String end) {
            assertRejected(CHUNKED + "5\r\n" + BODY + end + LAST_CHUNK);
        }

        @ParameterizedTest
        @ValueSource(
                strings = {
                    "X Y: z",
                    "X\0: y",
                    ": y",
                    "no field",
                    " X: y",
                    "X: y\0",
                    "X: y\rz",
                    "X: y\r\n z",
                    "Content-Length: 5",
                    "transfer-encoding: chunked"
                })
        void shouldRejectTrailer(String line) {
            assertRejected(CHUNKED + "5\r\n" + BODY + "\r\n0\r\n" + line + "\r\n\r\n");
        }
    }

    @Nested
    class SoundAnswers {

        // Guards against a grammar that rejects odd answers which are sound.
        @ParameterizedTest
        @ValueSource(
                strings = {
                    OK + FIXED,
                    "HTTP/1.1 200 \r\n" + FIXED,
                    "HTTP/1.1 299 caf\u00e9\tau lait\r\n" + FIXED,
                    "HTTP/1.0 200 OK\r\n" + FIXED,
                    "HTTP/1.1 599 \r\n" + FIXED,
                    OK + "X-Empty:\r\n" + FIXED,
                    OK + "X-Blank: \t \r\n" + FIXED,
                    OK + "X: caf\u00e9 \"a\tb\"\r\n" + FIXED,
                    OK + "!#$%&'*+-.^_`|~09: y\r\n" + FIXED,
                    OK + "Content-Length: 5\r\n" + FIXED,
                    OK + "CONTENT-LENGTH:5 \t\r\n\r\n" + BODY,
                    OK + "Content-Lengths: 7\r\nContent-Lengt: x\r\n" + FIXED,
                    OK + "Transfer-Encoding:CHUNKED \r\n\r\n" + LAST_CHUNK,
                    CHUNKED + "5\r\n" + BODY + "\r\n" + LAST_CHUNK,
                    CHUNKED + "05;a;b=\"c d\"\r\n" + BODY + "\r\n" + LAST_CHUNK,
                    CHUNKED + "5 \t;a\r\n" + BODY + "\r\n" + LAST_CHUNK,
                    CHUNKED + "5  \r\n" + BODY + "\r\n" + LAST_CHUNK,
                    CHUNKED + "5\r\n" + BODY + "\r\n0\r\nX: y\r\nZ:\r\n\r\n",
                    "HTTP/1.1 100 \r\n\r\n" + OK + FIXED
                })
        void shouldAcceptAnswer(String answer) {
            assertAccepted(answer);
        }
    }
}
