package review;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;

/**
 * The platform's way to one machine. When the machine loses power, the channels that are open go
 * silent: nothing arrives any more, and nothing tells the client.
 */
final class Front {
    private final ServerSocket socket;
    private final Gateway gateway;
    private volatile int power;

    Front(String ip, Gateway gateway) throws IOException {
        this.gateway = gateway;
        socket = new ServerSocket();
        socket.bind(new InetSocketAddress(InetAddress.getByName(ip), 0), 1024);
        Wire.daemon(this::accept);
    }

    String address() {
        return socket.getInetAddress().getHostAddress() + ":" + socket.getLocalPort();
    }

    /** Silences all channels that are open now; later ones work. */
    void losePower() {
        power++;
    }

    private void accept() {
        try {
            while (true) {
                Socket client = socket.accept();
                client.setTcpNoDelay(true);
                int since = power;
                Wire.daemon(() -> connect(client, since));
            }
        } catch (IOException closed) {
            // The case has ended.
        }
    }

    private void connect(Socket client, int since) {
        try {
            Socket machine = new Socket();
            machine.setTcpNoDelay(true);
            machine.connect(Wire.parse(gateway.front), 1_000);
            Wire.daemon(() -> pass(machine, client, since));
            pass(client, machine, since);
        } catch (IOException refused) {
            close(client);
        }
    }

    private void pass(Socket from, Socket to, int since) {
        byte[] buffer = new byte[16 * 1024];
        try {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
                if (power != since) {
                    return;
                }
                out.write(buffer, 0, count);
            }
        } catch (IOException broken) {
            // Handled below.
        }
        if (power == since) {
            close(from);
            close(to);
        }
    }

    private static void close(Socket socket) {
        try {
            socket.close();
        } catch (IOException closed) {
            // It is closed already.
        }
    }
}
