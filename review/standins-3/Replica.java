import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/** A replica: reads requests, rejects those for another replica, and answers as its behaviour says. */
final class Replica {
    /** Answers one request that has been read. */
    interface Behaviour {
        void serve(Replica replica, Http.Message request, Socket socket, OutputStream out) throws Exception;
    }

    final String id;
    private final ServerSocket server;
    private final Behaviour behaviour;

    Replica(String id, String host, Behaviour behaviour) throws IOException {
        this.id = id;
        this.behaviour = behaviour;
        server = new ServerSocket(0, 200, InetAddress.getByName(host));
        Stand.daemon(() -> {
            while (true) {
                Socket socket = server.accept();
                socket.setTcpNoDelay(true);
                Stand.daemon(() -> serve(socket));
            }
        });
    }

    String address() {
        return Stand.address(server);
    }

    /** The entry that the replica writes to the store. */
    Map<String, Object> entry(String service, String zone, int slots) {
        return Json.map("service", service, "address", address(), "zone", zone, "version", "v1", "slots", (long) slots,
            "state", "ready", "coldLeftMs", 0L, "seqNo", 1L);
    }

    private void serve(Socket socket) throws Exception {
        InputStream in = Http.buffered(socket.getInputStream());
        OutputStream out = socket.getOutputStream();
        while (true) {
            Http.Message request = Http.readHead(in);
            if (request == null) return;
            Http.readBody(in, request);
            String attempt = request.header("X-Almondhaven-Attempt-Id");
            String expected = request.header("X-Almondhaven-Expect-Replica");
            if (expected != null && !expected.equals(id)) {
                respond(out, 421, attempt, "X-Almondhaven-Replica-Id: " + id + "\r\n", new byte[0]);
                continue;
            }
            Stand.log("replica " + id + " runs " + attempt);
            behaviour.serve(this, request, socket, out);
        }
    }

    static String seal(String attempt) {
        return "seal-" + attempt;
    }

    static void respond(OutputStream out, int status, String attempt, String extra, byte[] body) throws IOException {
        String head = "HTTP/1.1 " + status + " X\r\nX-Almondhaven-Attempt-Id: " + attempt + "\r\n"
            + (status / 100 == 2 ? "X-Almondhaven-Response-Seal: " + seal(attempt) + "\r\n" : "") + extra
            + "Content-Length: " + body.length + "\r\n\r\n";
        Stand.log("replica answers " + attempt + " with " + status + ", " + body.length + " bytes");
        byte[] bytes = head.getBytes(StandardCharsets.ISO_8859_1);
        byte[] all = new byte[bytes.length + body.length];
        System.arraycopy(bytes, 0, all, 0, bytes.length);
        System.arraycopy(body, 0, all, bytes.length, body.length);
        out.write(all);
        out.flush();
    }
}
