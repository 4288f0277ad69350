package org.tamaracktrack.daemon.stream;

import static com.google.common.truth.Truth.assertThat;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.BiConsumer;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.tamaracktrack.core.error.TamaracktrackException;
import org.tamaracktrack.core.id.ServiceId;
import org.tamaracktrack.core.id.SoftwareVersion;
import org.tamaracktrack.core.stream.OriginMessage;
import org.tamaracktrack.core.stream.StreamOrigin;
import org.tamaracktrack.daemon.load.DatagramKinds;
import org.tamaracktrack.daemon.load.Datagrams;

class OriginCodecTest {
    private static final StreamOrigin ORIGIN =
            new StreamOrigin(ServiceId.of("engines"), SoftwareVersion.of("v1.1"));
    private static final List<OriginMessage> MESSAGES =
            List.of(
                    new OriginMessage.Notice(
                            List.of(
                                    new OriginMessage.Begun("a1", ORIGIN),
                                    new OriginMessage.Begun("a2", ORIGIN))),
                    new OriginMessage.Question(Long.MAX_VALUE, "a1", ORIGIN.service()),
                    new OriginMessage.Answer(
                            7, Optional.of(ORIGIN), Optional.of(SoftwareVersion.unstated())),
                    new OriginMessage.Answer(8, Optional.empty(), Optional.empty()));

    @Test
    void shouldDecodeWhatItEncodes() {
        MESSAGES.forEach(
                message ->
                        assertThat(OriginCodec.decode(OriginCodec.encode(message)))
                                .isEqualTo(message));
    }

    // Guards against a message of another format that ends the traffic thread's read loop.
    @Property(seed = "451", tries = 500)
    void shouldThrowTypedFailureWhenMessageIsArbitraryBytes(@ForAll byte[] bytes) {
        try {
            assertThat(OriginCodec.decode(bytes)).isNotNull();
        } catch (TamaracktrackException expected) {
            assertThat(expected.code()).isNotNull();
        }
    }

    @Test
    void shouldReachTheReceiverOfStreamMessages() {
        List<BiConsumer<InetSocketAddress, byte[]>> socket = new ArrayList<>();
        DatagramKinds kinds =
                DatagramKinds.of(
                        new Datagrams() {
                            @Override
                            public void send(InetSocketAddress address, byte[] message) {
                                // Only receiving is tested.
                            }

                            @Override
                            public void onReceived(BiConsumer<InetSocketAddress, byte[]> receiver) {
                                socket.add(receiver);
                            }
                        });
        List<byte[]> received = new ArrayList<>();
        kinds.streams().onReceived((from, message) -> received.add(message));

        MESSAGES.forEach(
                message ->
                        socket.get(0)
                                .accept(new InetSocketAddress(1), OriginCodec.encode(message)));

        assertThat(received).hasSize(MESSAGES.size());
    }
}
