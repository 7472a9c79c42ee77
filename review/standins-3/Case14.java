import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Streams at the one replica that is left of two, while the other drains: the replica pauses for less than the route's
 * longest pause, and the router has been told to stop.
 */
final class Case14 {
    private static final int STREAMS = 8;
    private static final int EVENTS = 40;
    private static final int EVENT_MILLIS = 100;
    private static final int PAUSE_MILLIS = 700;
    private static final int TARGET_GAP_MILLIS = 800;

    /** The last sixth of graceS begins here, in seconds after the SIGTERM. */
    private static final double LAST_SIXTH = 8.0 * 5 / 6;
    private static volatile long pauseFrom = Long.MAX_VALUE;

    public static void main(String[] arguments) throws Exception {
        Path root = Path.of(arguments[0]);
        Path folder = Path.of(arguments[1]);
        Stand.openRecord(Path.of(arguments[2]));
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Map<String, Boolean> passedOn = new ConcurrentHashMap<>();
        Replica.Behaviour behaviour = (replica, request, socket, out) -> {
            String attempt = request.header("X-Almondhaven-Attempt-Id");
            String resume = request.header("Last-Event-Id");
            int first = resume == null ? 1 : Integer.parseInt(resume) + 1;
            passedOn.put(attempt, true);
            Stand.log("replica " + replica.id + " begins " + attempt + " with event " + first);
            String head = "HTTP/1.1 200 OK\r\nX-Almondhaven-Attempt-Id: " + attempt + "\r\nX-Almondhaven-Response-Seal: "
                + Replica.seal(attempt) + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
            awaitPauseEnd();
            out.write(head.getBytes());
            for (int event = first; event <= EVENTS; event++) {
                Thread.sleep(EVENT_MILLIS);
                awaitPauseEnd();
                String text = "id: " + event + "\ndata: piece-" + event + "\n\n";
                out.write((Integer.toHexString(text.length()) + "\r\n" + text + "\r\n").getBytes());
                out.flush();
            }
            out.write("0\r\n\r\n".getBytes());
            out.flush();
            Stand.log("replica " + replica.id + " has sent all of " + attempt);
        };
        Store store = new Store("127.0.0.1");
        Replica left = new Replica("i-left", "127.0.0.1", behaviour);
        Replica draining = new Replica("i-draining", "127.0.0.1", behaviour);
        store.put("servers", left.id, left.entry("splitter-lm", "cwm-a", 64));
        store.put("servers", draining.id, draining.entry("splitter-lm", "cwm-b", 64));
        Map<String, Object> route = Config.route("r-query", "/query/", "streaming", "splitter-lm", 20_000, 1_000, 3);
        route.put("resumable", true);
        route.put("sticky", true);
        route.put("targetGapMs", (long) TARGET_GAP_MILLIS);
        store.put("config", "main", Config.of(7, List.of(route), List.of(Config.service("splitter-lm"))));
        Router router = new Router("front-cwm-a-1", "cwm-a", root, folder, store, Router.bounds());
        router.start();
        if (!router.awaitReady(20_000)) Stand.finish(2, "the router isn't ready");
        Map<String, Object> entry = draining.entry("splitter-lm", "cwm-b", 64);
        entry.put("state", "draining");
        store.put("servers", draining.id, entry);
        Stand.log("replica " + draining.id + " reports that it drains");
        Thread.sleep(2_500);

        AtomicInteger complete = new AtomicInteger();
        List<String> cut = new ArrayList<>();
        long[] stopped = new long[1];
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < STREAMS; i++) {
            String id = "stream-" + i;
            clients.add(Stand.daemon(() -> {
                int events = 0;
                try (Client client = new Client(router.front, 0)) {
                    client.socket.setSoTimeout(15_000);
                    client.send("POST", "/query/a", id, 20_000, Config.KEY, "X-Almondhaven-Token-Usage: 826,240\r\n"
                        + "X-Almondhaven-Prompt-Prefix: 5c1e07a2:198," + Integer.toHexString(0xe4402b00 + id.hashCode())
                        + ":628\r\n", new byte[830]);
                    Http.Message answer = Http.readHead(client.in);
                    if (answer.status() != 200) {
                        Stand.log(id + " gets " + answer.startLine);
                        return;
                    }
                    while (true) {
                        byte[] chunk = Http.readChunk(client.in);
                        if (chunk.length == 0) break;
                        events += new String(chunk).split("id: ", -1).length - 1;
                    }
                    complete.incrementAndGet();
                    Stand.log(id + " is complete with " + events + " events");
                } catch (Exception ended) {
                    double after = stopped[0] == 0 ? 0 : (System.nanoTime() - stopped[0]) / 1e9;
                    Stand.log(String.format("%s ends without a complete answer after %d of %d events, %.2f s after the SIGTERM",
                        id, events, EVENTS, after) + ": " + ended.getMessage());
                    boolean counts = stopped[0] != 0 && after < LAST_SIXTH && passedOn.containsKey(id);
                    if (counts) synchronized (cut) {
                        cut.add(id);
                    }
                }
            }));
        }
        Thread.sleep(1_000);
        if (trouble) {
            stopped[0] = System.nanoTime();
            router.signal("TERM");
            Stand.log("SIGTERM to the router");
        }
        Thread.sleep(1_000);
        if (trouble) {
            pauseFrom = System.nanoTime();
            Stand.log("replica " + left.id + " pauses for " + PAUSE_MILLIS + " ms; the route's longest pause is "
                + TARGET_GAP_MILLIS + " ms");
        }
        for (Thread client : clients) client.join(20_000);
        String counts = complete + " of " + STREAMS + " streams complete, " + cut.size() + " cut by the router";
        if (!cut.isEmpty()) Stand.finish(1, "LOST broken: " + counts);
        Stand.finish(complete.get() == STREAMS ? 0 : 2, "LOST held: " + counts);
    }

    private static void awaitPauseEnd() throws InterruptedException {
        long since = System.nanoTime() - pauseFrom;
        long left = PAUSE_MILLIS - since / 1_000_000;
        if (pauseFrom != Long.MAX_VALUE && since >= 0 && left > 0) Thread.sleep(left);
    }
}
