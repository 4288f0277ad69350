package org.tamaracktrack.link.http;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/** A server that writes given bytes after each request, and counts what it could write. */
final class RawServer implements AutoCloseable {
    private final ServerSocket socket = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    private final Script script;
    private final AtomicLong sentBytes = new AtomicLong();
    private final AtomicLong connections = new AtomicLong();
    private final CompletableFuture<Void> reset = new CompletableFuture<>();
    private final CompletableFuture<Socket> firstConnection = new CompletableFuture<>();

    /** Writes to a connection after each request; a failure ends the connection. */
    interface Script {
        void write(OutputStream output) throws IOException, InterruptedException;
    }

    RawServer(Script script) throws IOException {
        this.script = script;
        startThread(this::accept);
    }

    private static void startThread(Runnable action) {
        Thread thread = new Thread(action, "raw-server");
        thread.setDaemon(true);
        thread.start();
    }

    InetSocketAddress address() {
        return (InetSocketAddress) socket.getLocalSocketAddress();
    }

    long sentBytes() {
        return sentBytes.get();
    }

    /** Returns the number of connections that were accepted. */
    long connections() {
        return connections.get();
    }

    /** Returns the connection that was accepted first. */
    Socket firstConnection() {
        return firstConnection.join();
    }

    /** Waits until a connection was broken. */
    void awaitReset(long timeoutMillis) throws Exception {
        reset.get(timeoutMillis, TimeUnit.MILLISECONDS);
    }

    private void accept() {
        try {
            while (true) {
                Socket accepted = socket.accept();
                connections.incrementAndGet();
                firstConnection.complete(accepted);
                startThread(() -> serve(accepted));
            }
        } catch (IOException closed) {
            return;
        }
    }

    private void serve(Socket accepted) {
        try (accepted) {
            BufferedReader reader =
                    new BufferedReader(
                            new InputStreamReader(
                                    accepted.getInputStream(), StandardCharsets.ISO_8859_1));
            OutputStream output = counting(accepted.getOutputStream());
            for (String line = reader.readLine(); line != null; line = reader.readLine()) {
                if (line.isEmpty()) {
                    script.write(output);
                }
            }
        } catch (IOException closed) {
            reset.complete(null);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    private OutputStream counting(OutputStream output) {
        return new OutputStream() {
            @Override
            public void write(int value) throws IOException {
                write(new byte[] {(byte) value}, 0, 1);
            }

            @Override
            public void write(byte[] bytes, int offset, int length) throws IOException {
                output.write(bytes, offset, length);
                sentBytes.addAndGet(length);
            }
        };
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
