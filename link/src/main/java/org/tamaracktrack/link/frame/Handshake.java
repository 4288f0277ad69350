package org.tamaracktrack.link.frame;

import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.Arrays;
import java.util.Optional;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;
import org.tamaracktrack.core.error.ErrorCode;
import org.tamaracktrack.core.error.TamaracktrackException;

/**
 * Proves the shared secret both ways without sending it. The initiator sends a nonce; the responder
 * answers with its nonce and a proof over both; the initiator sends its own proof.
 */
final class Handshake {
    static final int NONCE_BYTES = 32;
    static final int PROOF_BYTES = 32;
    static final int MAXIMUM_FRAME_BYTES = NONCE_BYTES + PROOF_BYTES;
    private static final String ALGORITHM = "HmacSHA256";

    private final boolean initiator;
    private final String secret;
    private final byte[] ownNonce;
    private byte[] peerNonce;

    private Handshake(boolean initiator, String secret, byte[] ownNonce) {
        this.initiator = initiator;
        this.secret = secret;
        this.ownNonce = ownNonce.clone();
    }

    static Handshake initiator(String secret, byte[] nonce) {
        return new Handshake(true, secret, nonce);
    }

    static Handshake responder(String secret, byte[] nonce) {
        return new Handshake(false, secret, nonce);
    }

    /** What a received frame leads to: a frame to send, and whether the peer is now proved. */
    record Step(Optional<byte[]> reply, boolean proved) {}

    /** The frame that the initiator sends first. */
    byte[] opening() {
        return ownNonce.clone();
    }

    /** Takes a frame from the other side; throws {@code PEER_REFUSED} when it proves nothing. */
    Step receive(byte[] frame) {
        if (initiator) {
            return receiveAnswer(frame);
        }
        return peerNonce == null ? receiveNonce(frame) : receiveProof(frame);
    }

    private Step receiveNonce(byte[] frame) {
        require(frame.length == NONCE_BYTES);
        peerNonce = frame.clone();
        byte[] reply = Arrays.copyOf(ownNonce, NONCE_BYTES + PROOF_BYTES);
        byte[] proof = proof("responder", peerNonce, ownNonce);
        System.arraycopy(proof, 0, reply, NONCE_BYTES, PROOF_BYTES);
        return new Step(Optional.of(reply), false);
    }

    private Step receiveAnswer(byte[] frame) {
        require(frame.length == NONCE_BYTES + PROOF_BYTES);
        peerNonce = Arrays.copyOf(frame, NONCE_BYTES);
        byte[] proof = Arrays.copyOfRange(frame, NONCE_BYTES, frame.length);
        require(MessageDigest.isEqual(proof, proof("responder", ownNonce, peerNonce)));
        return new Step(Optional.of(proof("initiator", ownNonce, peerNonce)), true);
    }

    private Step receiveProof(byte[] frame) {
        require(MessageDigest.isEqual(frame, proof("initiator", peerNonce, ownNonce)));
        return new Step(Optional.empty(), true);
    }

    // The side's name is part of the proof: without it a stranger could send our own proof back to
    // us over a second connection and pass as a peer.
    private byte[] proof(String side, byte[] initiatorNonce, byte[] responderNonce) {
        try {
            Mac mac = Mac.getInstance(ALGORITHM);
            mac.init(new SecretKeySpec(secret.getBytes(StandardCharsets.UTF_8), ALGORITHM));
            mac.update(side.getBytes(StandardCharsets.UTF_8));
            mac.update(initiatorNonce);
            return mac.doFinal(responderNonce);
        } catch (GeneralSecurityException failure) {
            throw TamaracktrackException.of(ErrorCode.INTERNAL, "no " + ALGORITHM, failure);
        }
    }

    private static void require(boolean proved) {
        if (!proved) {
            throw TamaracktrackException.of(
                    ErrorCode.PEER_REFUSED, "the other end did not prove the shared secret");
        }
    }
}
