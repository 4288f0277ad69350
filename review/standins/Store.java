package review;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The platform's store: appends, reads that wait, and the newest record of each key. */
final class Store {
    private final Map<String, List<byte[]>> parts = new HashMap<>();
    private final Wire.Server server;

    Store(String ip) throws IOException {
        server = new Wire.Server(ip, 0, this::handle);
    }

    String address() {
        return server.address();
    }

    /** Writes a keyed record as the operator and the runners do. */
    synchronized void put(String topic, String key, String value) {
        byte[] keyBytes = key.getBytes(StandardCharsets.UTF_8);
        byte[] valueBytes = value.getBytes(StandardCharsets.UTF_8);
        part(topic + "/0")
                .add(
                        ByteBuffer.allocate(1 + keyBytes.length + valueBytes.length)
                                .put((byte) keyBytes.length)
                                .put(keyBytes)
                                .put(valueBytes)
                                .array());
        notifyAll();
    }

    private List<byte[]> part(String name) {
        return parts.computeIfAbsent(name, missing -> new ArrayList<>());
    }

    private boolean handle(Wire.Call call, Socket channel) throws Exception {
        Thread.sleep(4);
        String part = call.query("topic", "") + "/" + call.query("part", "0");
        String path = call.path().replaceAll("[?].*", "");
        switch (path) {
            case "/tamaracktrack/log-append" -> append(call, part, channel);
            case "/tamaracktrack/log-read" -> read(call, part, channel);
            case "/tamaracktrack/log-newest" -> newest(part, channel);
            default -> answer(channel, 404, new byte[0]);
        }
        return true;
    }

    private void append(Wire.Call call, String name, Socket channel) throws IOException {
        long offset;
        synchronized (this) {
            List<byte[]> part = part(name);
            offset = part.size();
            long at = Long.parseLong(call.query("at", "-1"));
            if (at >= 0 && at != offset) {
                answer(channel, 412, json("{\"end\":" + offset + "}"));
                return;
            }
            ByteBuffer body = ByteBuffer.wrap(call.body());
            while (body.hasRemaining()) {
                byte[] record = new byte[body.getInt()];
                body.get(record);
                part.add(record);
            }
            notifyAll();
            answer(
                    channel,
                    200,
                    json("{\"offset\":" + offset + ",\"end\":" + part.size() + "}"));
        }
    }

    private void read(Wire.Call call, String name, Socket channel) throws Exception {
        int from = Integer.parseInt(call.query("from", "0"));
        long until =
                System.nanoTime() + Long.parseLong(call.query("wait_ms", "0")) * 1_000_000L;
        List<byte[]> records;
        int end;
        synchronized (this) {
            List<byte[]> part = part(name);
            long left = until - System.nanoTime();
            while (part.size() <= from && left > 0) {
                wait(Math.max(1, left / 1_000_000));
                left = until - System.nanoTime();
            }
            end = part.size();
            if (from > end) {
                answer(channel, 410, json("{\"first\":0}"));
                return;
            }
            records = List.copyOf(part.subList(from, end));
        }
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        body.writeBytes(ByteBuffer.allocate(16).putLong(end).putLong(0).array());
        for (byte[] record : records) {
            body.writeBytes(ByteBuffer.allocate(4).putInt(record.length).array());
            body.writeBytes(record);
        }
        answer(channel, 200, body.toByteArray());
    }

    private void newest(String name, Socket channel) throws IOException {
        Map<String, String> items = new LinkedHashMap<>();
        int end;
        synchronized (this) {
            List<byte[]> part = part(name);
            end = part.size();
            for (int offset = 0; offset < end; offset++) {
                byte[] record = part.get(offset);
                int length = Byte.toUnsignedInt(record[0]);
                String key = new String(record, 1, length, StandardCharsets.UTF_8);
                byte[] value = Arrays.copyOfRange(record, 1 + length, record.length);
                items.remove(key);
                if (value.length > 0) {
                    items.put(
                            key,
                            "{\"key\":\""
                                    + key
                                    + "\",\"value\":\""
                                    + Base64.getEncoder().encodeToString(value)
                                    + "\",\"offset\":"
                                    + offset
                                    + "}");
                }
            }
        }
        answer(
                channel,
                200,
                json(
                        "{\"items\":["
                                + String.join(",", items.values())
                                + "],\"has_more\":false,\"end\":"
                                + end
                                + "}"));
    }

    private static byte[] json(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private static void answer(Socket channel, int status, byte[] body) throws IOException {
        Wire.answer(channel, status, Map.of("Store-Era", "1"), body);
    }
}
