import java.io.IOException;
import java.net.ServerSocket;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;

/** A replica of a plain service, as PROTOCOL.md describes it: some slots, a short queue, 503 with "not executed" beyond. */
final class Replica {
    final String id;
    private final int slots;
    private final int queue;
    private final int workMillis;
    private final Record record;
    private final ServerSocket server;
    private final Semaphore free;
    private final Set<Http.Connection> connections = ConcurrentHashMap.newKeySet();
    private final AtomicInteger places = new AtomicInteger();

    /** How often each client attempt has run at any replica of the test. */
    private final Map<String, AtomicInteger> runs;

    /** Share of the answers that are followed by a late second copy, where the next answer is expected. */
    volatile double extraShare;

    /** When the store acknowledged that this replica leaves, in nanoseconds; 0 before. */
    volatile long leftAt;

    /** Requests that came later than drainMs after that. */
    final AtomicInteger arrivalsAfterLeaving = new AtomicInteger();

    private static final long DRAIN_NANOS = 2_000_000_000L;

    Replica(String id, int slots, int queue, int workMillis, Record record, Map<String, AtomicInteger> runs) throws IOException {
        this.id = id;
        this.slots = slots;
        this.queue = queue;
        this.workMillis = workMillis;
        this.record = record;
        this.runs = runs;
        free = new Semaphore(slots, true);
        server = Http.listen(this::serve);
    }

    /** The replica's entry in the store. */
    Map<String, Object> entry(String service, String state) {
        return Json.object("service", service, "address", "127.0.0.1:" + server.getLocalPort(), "zone", "lj", "version", "v1",
            "slots", slots, "state", state, "coldLeftMs", 0, "seqNo", 1);
    }

    /** The requests of one connection, read ahead so that its end is seen while a request waits. */
    private static final class Requests {
        private static final Http.Message END = new Http.Message("");
        private final BlockingQueue<Http.Message> read = new LinkedBlockingQueue<>();
        volatile boolean isClosed;

        Requests(Http.Connection connection) {
            Http.daemon(() -> {
                try {
                    for (Http.Message next = connection.read(); next != null; next = connection.read()) read.add(next);
                } catch (IOException reset) {
                    // The same as an end in good order.
                }
                isClosed = true;
                read.add(END);
            });
        }

        Http.Message next() throws InterruptedException {
            Http.Message next = read.take();
            return next == END ? null : next;
        }
    }

    /** Ends the replica, with all connections and the requests on them. */
    void exit() throws IOException {
        server.close();
        connections.forEach(Http.Connection::close);
    }

    private void serve(Http.Connection connection) throws IOException, InterruptedException {
        connections.add(connection);
        Random random = new Random();
        Requests requests = new Requests(connection);
        String copy = null;
        for (Http.Message request = requests.next(); request != null; request = requests.next()) {
            String attempt = request.header("X-Almondhaven-Attempt-Id");
            if (copy != null) {
                record.line("replica %s sends a late second copy of: %s", id, copy.lines().limit(2).toList());
                connection.write(copy);
            }
            long late = leftAt == 0 ? 0 : System.nanoTime() - leftAt;
            if (late > DRAIN_NANOS) {
                arrivalsAfterLeaving.incrementAndGet();
                record.line("replica %s gets %s %d ms after its leaving was acknowledged", id, attempt, late / 1_000_000);
            }
            String answer = answer(request, attempt, requests);
            if (answer == null) return;
            connection.write(answer);
            copy = random.nextDouble() < extraShare ? answer : null;
        }
    }

    /** The answer; null for a request that is dropped in the queue because its connection has closed. */
    private String answer(Http.Message request, String attempt, Requests requests) throws InterruptedException {
        if (!request.header("X-Almondhaven-Expect-Replica").equals(id)) return head("421 Misdirected", attempt, true) + "\r\n";
        if (places.incrementAndGet() > slots + queue) {
            places.decrementAndGet();
            record.line("replica %s refuses %s: full", id, attempt);
            return head("503 Service Unavailable", attempt, true) + "\r\n";
        }
        try {
            free.acquire();
            if (requests.isClosed) {
                free.release();
                record.line("replica %s drops %s: its connection has closed", id, attempt);
                return null;
            }
            int times = runs.computeIfAbsent(attempt, none -> new AtomicInteger()).incrementAndGet();
            record.line("replica %s runs %s, run %d", id, attempt, times);
            Thread.sleep(workMillis);
            free.release();
        } finally {
            places.decrementAndGet();
        }
        return head("200 OK", attempt, false).replace("Content-Length: 0", "Content-Length: 800") + "\r\n" + "x".repeat(800);
    }

    private String head(String status, String attempt, boolean notRun) {
        int taken = places.get();
        return "HTTP/1.1 " + status + "\r\nX-Almondhaven-Attempt-Id: " + attempt + "\r\nX-Almondhaven-Replica-Load: "
            + Math.min(taken, slots) + "," + Math.max(0, taken - slots) + "," + slots + "\r\n"
            + (notRun ? "X-Almondhaven-Not-Executed: 1\r\n" : "X-Almondhaven-Response-Seal: " + id + "." + attempt + "\r\n")
            + "Keep-Alive: timeout=10\r\nContent-Length: 0\r\n";
    }
}
