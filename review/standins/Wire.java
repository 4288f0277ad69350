package review;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** A blocking HTTP/1.1 server and client on loopback sockets. */
final class Wire {
    private Wire() {}

    /** A request that a server has read; header names are in lower case. */
    record Call(String method, String path, Map<String, String> headers, byte[] body) {
        String header(String name) {
            return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
        }

        String query(String name, String other) {
            int mark = path.indexOf('?');
            for (String pair : path.substring(mark + 1).split("&")) {
                if (mark >= 0 && pair.startsWith(name + "=")) {
                    return pair.substring(name.length() + 1);
                }
            }
            return other;
        }
    }

    /** Answers a request; returns whether the channel stays open. */
    interface Handler {
        boolean handle(Call call, Socket channel) throws Exception;
    }

    /** A server with one thread for each channel. */
    static final class Server {
        private final ServerSocket socket;
        private final Handler handler;

        Server(String ip, int port, Handler handler) throws IOException {
            this.handler = handler;
            socket = new ServerSocket();
            socket.setReuseAddress(true);
            socket.bind(new InetSocketAddress(InetAddress.getByName(ip), port), 1024);
            daemon(this::accept);
        }

        String address() {
            return socket.getInetAddress().getHostAddress() + ":" + socket.getLocalPort();
        }

        void close() throws IOException {
            socket.close();
        }

        private void accept() {
            try {
                while (true) {
                    Socket channel = socket.accept();
                    channel.setTcpNoDelay(true);
                    daemon(() -> serve(channel));
                }
            } catch (IOException closed) {
                // The server was closed.
            }
        }

        private void serve(Socket channel) {
            try (channel) {
                InputStream in = new BufferedInputStream(channel.getInputStream());
                boolean open = true;
                while (open) {
                    Call call = readCall(in);
                    open = call != null && handler.handle(call, channel);
                }
            } catch (Exception broken) {
                // The peer or the handler closed the channel.
            }
        }
    }

    static void daemon(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
    }

    static Call readCall(InputStream in) throws IOException {
        String line = readLine(in);
        if (line == null) {
            return null;
        }
        String[] words = line.split(" ");
        Map<String, String> headers = readHeaders(in);
        return new Call(words[0], words[1], headers, readBody(in, headers, false));
    }

    private static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int next = in.read(); next != '\n'; next = in.read()) {
            if (next < 0) {
                return null;
            }
            if (next != '\r') {
                line.write(next);
            }
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }

    private static Map<String, String> readHeaders(InputStream in) throws IOException {
        Map<String, String> headers = new LinkedHashMap<>();
        for (String line = readLine(in); ; line = readLine(in)) {
            if (line == null) {
                throw new EOFException("channel ended inside a head");
            }
            if (line.isEmpty()) {
                return headers;
            }
            int colon = line.indexOf(':');
            headers.put(
                    line.substring(0, colon).toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).strip());
        }
    }

    private static byte[] readBody(InputStream in, Map<String, String> headers, boolean untilEnd)
            throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        if (headers.getOrDefault("transfer-encoding", "").equalsIgnoreCase("chunked")) {
            while (true) {
                String size = readLine(in);
                if (size == null) {
                    throw new PartialBody(body.toByteArray());
                }
                int length = Integer.parseInt(size.strip(), 16);
                byte[] chunk = in.readNBytes(length);
                body.writeBytes(chunk);
                if (chunk.length < length || readLine(in) == null) {
                    throw new PartialBody(body.toByteArray());
                }
                if (length == 0) {
                    return body.toByteArray();
                }
            }
        }
        if (headers.containsKey("content-length")) {
            int length = Integer.parseInt(headers.get("content-length"));
            byte[] bytes = in.readNBytes(length);
            if (bytes.length < length) {
                throw new PartialBody(bytes);
            }
            return bytes;
        }
        return untilEnd ? in.readAllBytes() : new byte[0];
    }

    /** A body whose channel ended before its last byte. */
    static final class PartialBody extends IOException {
        private static final long serialVersionUID = 1;
        final transient byte[] bytes;

        PartialBody(byte[] bytes) {
            super("channel ended after " + bytes.length + " bytes of a body");
            this.bytes = bytes;
        }
    }

    static void answer(Socket channel, int status, Map<String, String> headers, byte[] body)
            throws IOException {
        StringBuilder head = new StringBuilder("HTTP/1.1 " + status + " Status\r\n");
        headers.forEach((name, value) -> head.append(name + ": " + value + "\r\n"));
        head.append("Content-Length: " + body.length + "\r\n\r\n");
        ByteArrayOutputStream whole = new ByteArrayOutputStream();
        whole.writeBytes(head.toString().getBytes(StandardCharsets.ISO_8859_1));
        whole.writeBytes(body);
        channel.getOutputStream().write(whole.toByteArray());
        channel.getOutputStream().flush();
    }

    /** What a client has seen: a status of 0 means a channel that ended without a head. */
    record Answer(int status, Map<String, String> headers, byte[] body, boolean complete) {
        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }

        boolean has(String header) {
            return headers.containsKey(header.toLowerCase(Locale.ROOT));
        }
    }

    /** A kept channel of a client. */
    static final class Channel implements AutoCloseable {
        final Socket socket = new Socket();
        private final InputStream in;

        Channel(String address, int timeoutMillis) throws IOException {
            socket.setTcpNoDelay(true);
            socket.connect(parse(address), 1000);
            socket.setSoTimeout(timeoutMillis);
            in = new BufferedInputStream(socket.getInputStream());
        }

        void send(String method, String path, Map<String, String> headers, byte[] body)
                throws IOException {
            ByteArrayOutputStream whole = new ByteArrayOutputStream();
            whole.writeBytes(head(method, path, headers, body.length));
            whole.writeBytes(body);
            OutputStream out = socket.getOutputStream();
            out.write(whole.toByteArray());
            out.flush();
        }

        static byte[] head(String method, String path, Map<String, String> headers, int length) {
            StringBuilder head = new StringBuilder(method + " " + path + " HTTP/1.1\r\n");
            headers.forEach((name, value) -> head.append(name + ": " + value + "\r\n"));
            head.append("Content-Length: " + length + "\r\n\r\n");
            return head.toString().getBytes(StandardCharsets.ISO_8859_1);
        }

        /** Reads one answer; throws SocketTimeoutException when none came in time. */
        Answer read() throws IOException {
            String line = readLine(in);
            if (line == null) {
                return new Answer(0, Map.of(), new byte[0], false);
            }
            int status = Integer.parseInt(line.split(" ")[1]);
            Map<String, String> headers = readHeaders(in);
            if (status == 204 || status == 304) {
                return new Answer(status, headers, new byte[0], true);
            }
            try {
                return new Answer(status, headers, readBody(in, headers, true), true);
            } catch (PartialBody partial) {
                return new Answer(status, headers, partial.bytes, false);
            }
        }

        /** Reads the head of an answer, whose body follows. */
        Answer readHead() throws IOException {
            String line = readLine(in);
            if (line == null) {
                return new Answer(0, Map.of(), new byte[0], false);
            }
            return new Answer(
                    Integer.parseInt(line.split(" ")[1]), readHeaders(in), new byte[0], false);
        }

        /** Reads the next chunk; empty at the regular end of the body. */
        String readChunk() throws IOException {
            String size = readLine(in);
            if (size == null) {
                throw new EOFException("channel ended inside a body");
            }
            int length = Integer.parseInt(size.strip(), 16);
            byte[] chunk = in.readNBytes(length);
            if (chunk.length < length || readLine(in) == null) {
                throw new EOFException("channel ended inside a body");
            }
            return new String(chunk, StandardCharsets.UTF_8);
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    static InetSocketAddress parse(String address) {
        int colon = address.lastIndexOf(':');
        return new InetSocketAddress(
                address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
    }
}
