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
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A small HTTP/1.1 server and client for stand-ins, with one thread for each channel. */
final class Web {
    static final byte[] EMPTY = new byte[0];

    private Web() {}

    /** A message of HTTP/1.1: a request or an answer. Names of headers are in lower case. */
    static final class Message {
        String first = "";
        final Map<String, String> headers = new LinkedHashMap<>();
        byte[] body = EMPTY;

        /** Whether the body came with a length, or with its last chunk. */
        boolean whole = true;

        String header(String name) {
            return headers.get(name.toLowerCase(Locale.ROOT));
        }

        String method() {
            return first.split(" ")[0];
        }

        String target() {
            return first.split(" ")[1];
        }

        String path() {
            return target().split("\\?")[0];
        }

        String query(String name) {
            String[] parts = target().split("\\?", 2);
            if (parts.length < 2) {
                return null;
            }
            for (String pair : parts[1].split("&")) {
                String[] sides = pair.split("=", 2);
                if (sides[0].equals(name)) {
                    return java.net.URLDecoder.decode(
                            sides.length > 1 ? sides[1] : "", StandardCharsets.UTF_8);
                }
            }
            return null;
        }

        int status() {
            return Integer.parseInt(first.split(" ")[1]);
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    /** Reads a line without its end; null at the end of the channel. */
    static String line(InputStream in) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        int next;
        while ((next = in.read()) >= 0) {
            if (next == '\n') {
                String text = bytes.toString(StandardCharsets.ISO_8859_1);
                return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
            }
            bytes.write(next);
        }
        if (bytes.size() > 0) {
            throw new EOFException("inside a line");
        }
        return null;
    }

    /** Reads a head; null at the end of the channel. */
    static Message head(InputStream in) throws IOException {
        String first = line(in);
        if (first == null) {
            return null;
        }
        Message message = new Message();
        message.first = first;
        String field;
        while (!(field = orEof(line(in))).isEmpty()) {
            int colon = field.indexOf(':');
            message.headers.put(
                    field.substring(0, colon).toLowerCase(Locale.ROOT),
                    field.substring(colon + 1).strip());
        }
        return message;
    }

    private static String orEof(String line) throws EOFException {
        if (line == null) {
            throw new EOFException("inside a head");
        }
        return line;
    }

    /** Reads the body of a request, or of an answer. */
    static void body(InputStream in, Message message, boolean answer) throws IOException {
        String length = message.header("content-length");
        if ("chunked".equalsIgnoreCase(message.header("transfer-encoding"))) {
            ByteArrayOutputStream bytes = new ByteArrayOutputStream();
            int size;
            while ((size = Integer.parseInt(orEof(line(in)).split(";")[0].strip(), 16)) > 0) {
                bytes.writeBytes(exactly(in, size));
                line(in);
            }
            while (!orEof(line(in)).isEmpty()) {
                continue;
            }
            message.body = bytes.toByteArray();
        } else if (length != null) {
            message.body = exactly(in, Integer.parseInt(length));
        } else if (answer) {
            message.body = in.readAllBytes();
            message.whole = false;
        }
    }

    private static byte[] exactly(InputStream in, int size) throws IOException {
        byte[] bytes = in.readNBytes(size);
        if (bytes.length < size) {
            throw new EOFException("body ends after " + bytes.length + " of " + size);
        }
        return bytes;
    }

    static void write(OutputStream out, String head, byte[] body) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        bytes.writeBytes(head.getBytes(StandardCharsets.ISO_8859_1));
        bytes.writeBytes(body);
        out.write(bytes.toByteArray());
        out.flush();
    }

    /** Answers requests on a channel. */
    interface Handler {
        /** Returns whether the channel is kept. */
        boolean handle(Message request, Channel channel) throws Exception;
    }

    /** A channel that was accepted or opened. */
    static final class Channel {
        final Socket socket;
        final InputStream in;
        final OutputStream out;

        Channel(Socket socket) throws IOException {
            this.socket = socket;
            socket.setTcpNoDelay(true);
            in = new BufferedInputStream(socket.getInputStream(), 65536);
            out = socket.getOutputStream();
        }

        void answer(int status, Map<String, String> headers, byte[] body) throws IOException {
            StringBuilder head = new StringBuilder("HTTP/1.1 " + status + " Status\r\n");
            headers.forEach((name, value) -> head.append(name + ": " + value + "\r\n"));
            head.append("Content-Length: " + body.length + "\r\n\r\n");
            write(out, head.toString(), body);
        }

        void close() {
            try {
                socket.close();
            } catch (IOException closed) {
                // Closed already.
            }
        }
    }

    /** A server on a free port of the loopback address. */
    static final class Server implements AutoCloseable {
        final ServerSocket listener;
        final Handler handler;
        final Set<Channel> channels = ConcurrentHashMap.newKeySet();

        Server(Handler handler) throws IOException {
            this.handler = handler;
            listener = new ServerSocket();
            listener.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 1024);
            start("accept", this::accept);
        }

        int port() {
            return listener.getLocalPort();
        }

        String address() {
            return "127.0.0.1:" + port();
        }

        private void accept() {
            while (!listener.isClosed()) {
                try {
                    Channel channel = new Channel(listener.accept());
                    channels.add(channel);
                    start("channel", () -> serve(channel));
                } catch (IOException closed) {
                    return;
                }
            }
        }

        private void serve(Channel channel) {
            try {
                Message request;
                while ((request = head(channel.in)) != null) {
                    if (!handler.handle(request, channel)) {
                        break;
                    }
                }
            } catch (Exception ended) {
                // The channel has ended.
            } finally {
                channel.close();
                channels.remove(channel);
            }
        }

        @Override
        public void close() throws IOException {
            listener.close();
            channels.forEach(Channel::close);
        }
    }

    static Channel open(int port) throws IOException {
        Socket socket = new Socket();
        socket.connect(new InetSocketAddress("127.0.0.1", port), 1000);
        return new Channel(socket);
    }

    static Thread start(String name, Runnable task) {
        Thread thread = new Thread(null, task, name, 256 * 1024);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    /** Returns a port of the loopback address that is free now. */
    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return socket.getLocalPort();
        }
    }
}
