package org.tamaracktrack.link.frame;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.tamaracktrack.core.error.ErrorCode;
import org.tamaracktrack.core.error.TamaracktrackException;

class HandshakeTest {
    private static final byte[] FIRST_NONCE = nonce((byte) 1);
    private static final byte[] SECOND_NONCE = nonce((byte) 2);

    @Test
    void shouldAuthenticateBothSidesWhenTheyShareTheSecret() {
        Handshake initiator = Handshake.initiator("secret", FIRST_NONCE);
        Handshake responder = Handshake.responder("secret", SECOND_NONCE);

        Handshake.Step responderStep = responder.receive(initiator.initialFrame());
        Handshake.Step initiatorStep = initiator.receive(responderStep.reply().orElseThrow());
        Handshake.Step finalStep = responder.receive(initiatorStep.reply().orElseThrow());

        assertThat(responderStep.authenticated()).isFalse();
        assertThat(initiatorStep.authenticated()).isTrue();
        assertThat(finalStep.authenticated()).isTrue();
    }

    @Nested
    class UnauthenticatedPeers {

        @Test
        void shouldRefuseAResponderThatHasAnotherSecret() {
            Handshake initiator = Handshake.initiator("secret", FIRST_NONCE);
            Handshake responder = Handshake.responder("other", SECOND_NONCE);
            byte[] reply = responder.receive(initiator.initialFrame()).reply().orElseThrow();

            assertRefused(() -> initiator.receive(reply));
        }

        @Test
        void shouldRefuseOurOwnProofWhenItIsReflected() {
            // An attacker opens two connections to this process and forwards the frames of one to
            // the other. Each connection replies with a proof in the role of the responder, which
            // the attacker returns on the other as its own. The name of the side in the proof makes
            // it invalid there.
            Handshake firstConnection = Handshake.responder("secret", FIRST_NONCE);
            Handshake secondConnection = Handshake.responder("secret", SECOND_NONCE);
            byte[] firstReply = firstConnection.receive(SECOND_NONCE).reply().orElseThrow();
            byte[] secondReply = secondConnection.receive(FIRST_NONCE).reply().orElseThrow();

            assertThat(firstReply).isNotEqualTo(secondReply);
            assertRefused(() -> firstConnection.receive(proofOf(secondReply)));
            assertRefused(() -> secondConnection.receive(proofOf(firstReply)));
        }

        @Test
        void shouldRefuseAFrameOfUnexpectedLength() {
            Handshake responder = Handshake.responder("secret", SECOND_NONCE);

            assertRefused(() -> responder.receive(new byte[5]));
        }
    }

    private static byte[] proofOf(byte[] reply) {
        return java.util.Arrays.copyOfRange(reply, Handshake.NONCE_BYTES, reply.length);
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
