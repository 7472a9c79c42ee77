import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.BindException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** The part of HTTP/1.1 that the stand-ins speak. */
final class Http {
    private Http() {}

    /** A request or a response; {@code start} is its first line. */
    static final class Message {
        final String start;
        final Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        byte[] body = new byte[0];

        /** Whether a chunked body ended with its last chunk, or a body with a length is whole. */
        boolean isWhole = true;

        Message(String start) {
            this.start = start;
        }

        String method() {
            return start.split(" ")[0];
        }

        String target() {
            return start.split(" ")[1];
        }

        int status() {
            return Integer.parseInt(start.split(" ")[1]);
        }

        String header(String name) {
            return headers.getOrDefault(name, "");
        }
    }

    /** A connection whose messages are read one after the other. */
    static final class Connection {
        final Socket socket;
        final InputStream input;

        Connection(Socket socket) throws IOException {
            this.socket = socket;
            socket.setTcpNoDelay(true);
            input = new BufferedInputStream(socket.getInputStream(), 65_536);
        }

        /** The head of the next message; null if the connection ended before it. */
        Message readHead() throws IOException {
            String start = line();
            if (start == null) return null;
            Message message = new Message(start);
            for (String line = line(); line != null && !line.isEmpty(); line = line()) {
                int colon = line.indexOf(':');
                message.headers.put(line.substring(0, colon), line.substring(colon + 1).trim());
            }
            return message;
        }

        /** The next message with its body; null if the connection ended before it. */
        Message read() throws IOException {
            Message message = readHead();
            if (message == null) return null;
            if (message.header("Transfer-Encoding").equalsIgnoreCase("chunked")) {
                readChunks(message);
            } else {
                String length = message.header("Content-Length");
                int expected = length.isEmpty() ? 0 : Integer.parseInt(length);
                message.body = input.readNBytes(expected);
                message.isWhole = message.body.length == expected;
            }
            return message;
        }

        private void readChunks(Message message) throws IOException {
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            try {
                while (true) {
                    String size = line();
                    if (size == null) throw new EOFException("in the middle of a chunked body");
                    byte[] chunk = input.readNBytes(Integer.parseInt(size.trim(), 16));
                    all.writeBytes(chunk);
                    line();
                    if (chunk.length == 0) break;
                }
            } catch (IOException early) {
                message.isWhole = false;
            }
            message.body = all.toByteArray();
        }

        private String line() throws IOException {
            ByteArrayOutputStream line = new ByteArrayOutputStream();
            for (int next = input.read(); next >= 0; next = input.read()) {
                if (next == '\n') return line.toString(StandardCharsets.ISO_8859_1).replace("\r", "");
                line.write(next);
            }
            return null;
        }

        synchronized void write(byte[] bytes) throws IOException {
            socket.getOutputStream().write(bytes);
        }

        void write(String text) throws IOException {
            write(text.getBytes(StandardCharsets.ISO_8859_1));
        }

        void close() {
            try {
                socket.close();
            } catch (IOException ignored) {
                // It is closed either way.
            }
        }
    }

    /** What a server does with one connection. */
    interface Service {
        void serve(Connection connection) throws IOException, InterruptedException;
    }

    /** Serves on a free port of 127.0.0.1, with one thread for each connection. */
    static ServerSocket listen(Service service) throws IOException {
        ServerSocket server = new ServerSocket(0, 1_024, InetAddress.getByName("127.0.0.1"));
        daemon(() -> accept(server, service));
        return server;
    }

    private static void accept(ServerSocket server, Service service) {
        try {
            while (true) {
                Connection connection = new Connection(server.accept());
                daemon(() -> {
                    try {
                        service.serve(connection);
                    } catch (IOException | InterruptedException ended) {
                        // The other side has closed the connection, or the server has ended.
                    } finally {
                        connection.close();
                    }
                });
            }
        } catch (IOException closed) {
            // The server has ended.
        }
    }

    static Thread daemon(Runnable work) {
        Thread thread = new Thread(null, work, "stand-in", 262_144);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    private static final Set<Integer> GIVEN_PORTS = new HashSet<>();

    /** A port that is free for TCP and UDP, another one each time. */
    static synchronized int freePort() throws IOException {
        InetAddress address = InetAddress.getByName("127.0.0.1");
        while (true) {
            try (ServerSocket probe = new ServerSocket(0, 1, address);
                DatagramSocket datagrams = new DatagramSocket(probe.getLocalPort(), address)) {
                if (GIVEN_PORTS.add(datagrams.getLocalPort())) return datagrams.getLocalPort();
            } catch (BindException taken) {
                // The port is taken for UDP; the next one may be free.
            }
        }
    }
}
