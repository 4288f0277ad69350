package org.tamaracktrack.daemon.load;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.tamaracktrack.core.error.ErrorCode;
import org.tamaracktrack.core.error.TamaracktrackException;
import org.tamaracktrack.daemon.relay.TestWorker;
import org.xnio.XnioWorker;

class UdpDatagramsTest {
    private static final InetSocketAddress ANY_PORT = new InetSocketAddress("127.0.0.1", 0);

    private XnioWorker worker;

    @BeforeEach
    void start() throws IOException {
        worker = TestWorker.start();
    }

    @AfterEach
    void close() {
        worker.shutdownNow();
    }

    @Test
    void shouldDeliverMessageWithSenderAddress() throws Exception {
        UdpDatagrams first = UdpDatagrams.open(worker, ANY_PORT);
        UdpDatagrams second = UdpDatagrams.open(worker, ANY_PORT);
        CompletableFuture<InetSocketAddress> sender = new CompletableFuture<>();
        CompletableFuture<byte[]> received = new CompletableFuture<>();
        second.onReceived(
                (from, message) -> {
                    sender.complete(from);
                    received.complete(message);
                });

        first.send(second.address(), new byte[] {1, 2, 3});

        assertThat(received.get(20, TimeUnit.SECONDS)).isEqualTo(new byte[] {1, 2, 3});
        assertThat(sender.get(20, TimeUnit.SECONDS)).isEqualTo(first.address());
    }

    @Test
    void shouldNameAddressThatCannotBeUsed() {
        UdpDatagrams first = UdpDatagrams.open(worker, ANY_PORT);

        TamaracktrackException failure =
                assertThrows(
                        TamaracktrackException.class,
                        () -> UdpDatagrams.open(worker, first.address()));

        assertThat(failure.code()).isEqualTo(ErrorCode.INVALID_SETTINGS);
        assertThat(failure).hasMessageThat().contains(Integer.toString(first.address().getPort()));
    }
}
