package org.tamaracktrack.link.frame;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.tamaracktrack.core.error.ErrorCode;
import org.tamaracktrack.core.error.TamaracktrackException;

class HandshakeTest {
    private static final byte[] FIRST = nonce((byte) 1);
    private static final byte[] SECOND = nonce((byte) 2);

    @Test
    void shouldProveBothSidesWhenTheyShareTheSecret() {
        Handshake initiator = Handshake.initiator("secret", FIRST);
        Handshake responder = Handshake.responder("secret", SECOND);

        Handshake.Step answer = responder.receive(initiator.opening());
        Handshake.Step proof = initiator.receive(answer.reply().orElseThrow());
        Handshake.Step end = responder.receive(proof.reply().orElseThrow());

        assertThat(answer.proved()).isFalse();
        assertThat(proof.proved()).isTrue();
        assertThat(end.proved()).isTrue();
    }

    @Nested
    class Strangers {

        @Test
        void shouldRefuseWhenTheResponderHasAnotherSecret() {
            Handshake initiator = Handshake.initiator("secret", FIRST);
            Handshake responder = Handshake.responder("other", SECOND);
            byte[] answer = responder.receive(initiator.opening()).reply().orElseThrow();

            assertRefused(() -> initiator.receive(answer));
        }

        @Test
        void shouldRefuseWhenOurOwnProofIsSentBackToUs() {
            // A stranger opens two connections to us and plays what we say on one into the other.
            // The first answers our nonce with our proof as responder; the stranger returns it as
            // its own. The side's name in the proof makes it worthless there.
            Handshake victim = Handshake.responder("secret", FIRST);
            Handshake mirror = Handshake.responder("secret", SECOND);
            byte[] fromVictim = victim.receive(SECOND).reply().orElseThrow();
            byte[] fromMirror = mirror.receive(FIRST).reply().orElseThrow();

            assertThat(fromVictim).isNotEqualTo(fromMirror);
            assertRefused(() -> victim.receive(proofOf(fromMirror)));
            assertRefused(() -> mirror.receive(proofOf(fromVictim)));
        }

        @Test
        void shouldRefuseWhenTheFrameHasAnotherLength() {
            Handshake responder = Handshake.responder("secret", SECOND);

            assertRefused(() -> responder.receive(new byte[5]));
        }
    }

    private static byte[] proofOf(byte[] answer) {
        return java.util.Arrays.copyOfRange(answer, Handshake.NONCE_BYTES, answer.length);
    }

    private static void assertRefused(org.junit.jupiter.api.function.Executable action) {
        TamaracktrackException failure = assertThrows(TamaracktrackException.class, action);
        assertThat(failure.code()).isEqualTo(ErrorCode.PEER_REFUSED);
    }

    private static byte[] nonce(byte value) {
        byte[] nonce = new byte[Handshake.NONCE_BYTES];
        java.util.Arrays.fill(nonce, value);
        return nonce;
    }
}
