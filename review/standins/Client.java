import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.Map;

/** One connection of a client, kept open for many requests. */
final class Client implements AutoCloseable {
    final Http.Connection connection;

    Client(int port) throws IOException {
        Socket socket = new Socket();
        socket.connect(new InetSocketAddress("127.0.0.1", port), 1_000);
        connection = new Http.Connection(socket);
    }

    /** Sends one request and returns its whole answer; an IOException means that the connection ended without it. */
    Http.Message call(String method, String path, Map<String, String> headers, byte[] body, int timeoutMillis)
        throws IOException {
        connection.socket.setSoTimeout(timeoutMillis);
        StringBuilder head = new StringBuilder(method + " " + path + " HTTP/1.1\r\nHost: portal.example\r\n");
        headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
        if (!method.equals("GET")) head.append("Content-Length: ").append(body.length).append("\r\n");
        connection.write(head + "\r\n");
        if (body.length > 0) connection.write(body);
        Http.Message answer = connection.read();
        if (answer == null) throw new IOException("closed without an answer");
        return answer;
    }

    @Override
    public void close() {
        connection.close();
    }
}
