import java.io.IOException;
import java.util.Map;

/** A client: one request on a channel of its own, or on a kept one. */
final class Caller {
    private Caller() {}

    static String head(String method, String path, String attempt, long deadline, int length, Map<String, String> more) {
        StringBuilder head =
                new StringBuilder(
                        method + " " + path + " HTTP/1.1\r\nHost: shop.example\r\n"
                                + "X-Tamaracktrack-Attempt-Id: " + attempt + "\r\n"
                                + "X-Tamaracktrack-Deadline-Ms: " + deadline + "\r\n");
        more.forEach((name, value) -> head.append(name + ": " + value + "\r\n"));
        return head + "Content-Length: " + length + "\r\n\r\n";
    }

    /** How one request ended, as its client saw it. */
    static final class End {
        int status;
        boolean sealed;
        String cut = "";
        String text = "";
        long millis;

        @Override
        public String toString() {
            return (status == 0 ? "no answer" : status + (sealed ? " sealed" : ""))
                    + (cut.isEmpty() ? "" : " (" + cut + ")")
                    + " after " + millis + " ms";
        }
    }

    /** Sends a request and reads its answer until the deadline and half a second have passed. */
    static End call(Web.Channel channel, String head, byte[] body, long deadline) {
        long start = System.nanoTime();
        End end = new End();
        try {
            channel.socket.setSoTimeout((int) deadline + 1500);
            Web.write(channel.out, head, body);
            Web.Message answer = Web.head(channel.in);
            if (answer == null) {
                end.cut = "channel closed";
            } else {
                end.status = answer.status();
                end.sealed = answer.header("X-Tamaracktrack-Response-Seal") != null;
                Web.body(channel.in, answer, true);
                end.text = answer.text();
            }
        } catch (java.net.SocketTimeoutException late) {
            end.cut = "none in time";
        } catch (IOException broken) {
            end.cut = String.valueOf(broken.getMessage());
        }
        end.millis = (System.nanoTime() - start) / 1_000_000;
        return end;
    }
}
