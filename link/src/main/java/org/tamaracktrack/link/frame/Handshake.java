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
 * Authenticates both sides of a connection by a shared secret that is never sent. The initiator
 * sends a nonce. The responder replies with its own nonce and a proof, which is an HMAC over both
 * nonces. The initiator then sends its own proof.
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

    /**
     * The result of a received frame: the frame to send in reply, if any, and whether the peer is
     * authenticated.
     */
    record Step(Optional<byte[]> reply, boolean authenticated) {}

    /** Returns the first frame of the initiator. */
    byte[] initialFrame() {
        return ownNonce.clone();
    }

    /**
     * Processes a frame of the peer. Throws {@code PEER_REFUSED} if the frame is not valid at this
     * step.
     */
    Step receive(byte[] frame) {
        if (initiator) {
            return receiveResponderFrame(frame);
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

    private Step receiveResponderFrame(byte[] frame) {
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

    // The name of the side is part of the proof. Otherwise an attacker could reflect our own proof
    // over a second connection and be accepted as a peer.
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

    private static void require(boolean valid) {
        if (!valid) {
            throw TamaracktrackException.of(
                    ErrorCode.PEER_REFUSED,
                    "the peer did not prove knowledge of the shared secret");
        }
    }
}
