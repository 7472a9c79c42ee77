import java.io.IOException;
import java.net.ServerSocket;
import java.util.Map;

/** A model replica, as PROTOCOL.md describes it: answers with a stream of events with increasing ids. */
final class Engine {
    /** Told of each run as it begins, that is, with its first token. */
    interface RunListener {
        void onRun(Engine engine, Http.Message request);
    }

    final String id;
    final String version;
    private final int events;
    private final int eventMillis;
    private final RunListener listener;
    private final ServerSocket server;

    Engine(String id, String version, int events, int eventMillis, RunListener listener) throws IOException {
        this.id = id;
        this.version = version;
        this.events = events;
        this.eventMillis = eventMillis;
        this.listener = listener;
        server = Http.listen(this::serve);
    }

    /** The replica's entry in the store. */
    Map<String, Object> entry(String service, String state) {
        return Json.object("service", service, "address", "127.0.0.1:" + server.getLocalPort(), "zone", "lj", "version", version,
            "slots", 64, "state", state, "coldLeftMs", 0, "seqNo", 1);
    }

    /** Ends the replica: it takes no more connections. */
    void stop() throws IOException {
        server.close();
    }

    private void serve(Http.Connection connection) throws IOException, InterruptedException {
        for (Http.Message request = connection.read(); request != null; request = connection.read()) {
            String attempt = request.header("X-Almondhaven-Attempt-Id");
            if (!request.header("X-Almondhaven-Expect-Replica").equals(id)) {
                connection.write("HTTP/1.1 421 X\r\nX-Almondhaven-Not-Executed: 1\r\nX-Almondhaven-Attempt-Id: " + attempt
                    + "\r\nContent-Length: 0\r\n\r\n");
                continue;
            }
            Thread.sleep(eventMillis);
            listener.onRun(this, request);
            // The smallest model is unsure of its answer, the others are not.
            int confidence = request.header("X-Almondhaven-Model").equals("m0") ? 20 : 95;
            connection.write("HTTP/1.1 200 OK\r\nX-Almondhaven-Attempt-Id: " + attempt + "\r\nX-Almondhaven-Response-Seal: " + id + "."
                + attempt + "\r\nX-Almondhaven-Confidence: " + confidence + "\r\nX-Almondhaven-Replica-Load: 1,0,64\r\n"
                + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nKeep-Alive: timeout=10\r\n\r\n");
            for (int event = 1; event <= events; event++) {
                String text = "id: " + event + "\ndata: tokens of " + attempt + "\n\n";
                connection.write(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
                Thread.sleep(eventMillis);
            }
            connection.write("0\r\n\r\n");
        }
    }
}
