import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** One connection of a client. */
final class Client implements AutoCloseable {
    final Socket socket = new Socket();
    final InputStream in;
    final OutputStream out;

    Client(String address, int receiveBuffer) throws Exception {
        if (receiveBuffer > 0) socket.setReceiveBufferSize(receiveBuffer);
        socket.setTcpNoDelay(true);
        socket.connect(new InetSocketAddress(address.split(":")[0], Integer.parseInt(address.split(":")[1])), 1000);
        in = Http.buffered(socket.getInputStream());
        out = socket.getOutputStream();
    }

    /** Sends a request with a length. */
    void send(String method, String path, String attempt, int deadlineMillis, String key, String extra, byte[] body)
        throws Exception {
        String head = method + " " + path + " HTTP/1.1\r\nHost: desk.example\r\nX-Almondhaven-Attempt-Id: " + attempt
            + "\r\nX-Almondhaven-Deadline-Ms: " + deadlineMillis + "\r\nApi-Key: " + key + "\r\n" + extra
            + (body.length > 0 || method.equals("POST") ? "Content-Length: " + body.length + "\r\n" : "") + "\r\n";
        Stand.log("client sends " + attempt + ": " + method + " " + path + ", " + body.length + " bytes");
        byte[] bytes = head.getBytes(StandardCharsets.ISO_8859_1);
        byte[] all = new byte[bytes.length + body.length];
        System.arraycopy(bytes, 0, all, 0, bytes.length);
        System.arraycopy(body, 0, all, bytes.length, body.length);
        out.write(all);
        out.flush();
    }

    /** Reads a whole answer; null if the connection ends before its head. */
    Http.Message read() throws Exception {
        Http.Message answer = Http.readHead(in);
        if (answer != null) Http.readBody(in, answer);
        if (answer != null) Stand.log("client gets " + answer.status() + " for " + answer.header("X-Almondhaven-Attempt-Id"));
        return answer;
    }

    @Override
    public void close() throws Exception {
        socket.close();
    }
}
