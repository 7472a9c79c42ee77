import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A replica that never reports `draining` leaves: its entry is removed, it serves for drainMs and half a second more, and
 * exits. With TROUBLE, the store cuts off the watches that are waiting, 0.3 s after the removal. The rule: later than
 * drainMs after the acknowledgement no request reaches the replica (DRAIN).
 */
final class CutWatches {
    private static final int USERS = 20;
    private static final int ROUNDS = 3;
    private static final long SERVES_ON_MILLIS = 2_500;

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Path folder = Files.createTempDirectory("review");
        int exit = 2;
        Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();
        Map<Integer, AtomicInteger> answers = new ConcurrentHashMap<>();
        try (Record record = new Record(Path.of(arguments[0]))) {
            Store store = new Store(500, 4);
            store.put("config", "main", configuration(), null);
            Replica[] replicas = new Replica[4 + ROUNDS];
            for (int i = 0; i < replicas.length; i++) replicas[i] = new Replica("i-" + i, 6, 24, 43, record, runs);
            for (int i = 0; i < 4; i++) store.put("servers", "i-" + i, replicas[i].entry("portal", "ready"), null);
            try (Routers routers = new Routers(2, store, folder)) {
                routers.awaitReady();
                record.say("2 routers, 4 replicas, %d users, trouble=%s", USERS, trouble);
                long end = System.nanoTime() + (6 + 6 * ROUNDS) * 1_000_000_000L;
                Thread[] users = new Thread[USERS];
                for (int i = 0; i < USERS; i++) {
                    int user = i;
                    users[i] = Http.daemon(() -> book(user, routers.all.get(user % 2).front, end, answers, record));
                }
                Thread.sleep(4_000);
                int late = 0;
                for (int round = 0; round < ROUNDS; round++) {
                    late += replace(replicas[round], replicas[4 + round], store, trouble, record);
                }
                for (Thread user : users) user.join();
                record.say("answers by status: %s; DRAIN: %d bookings reached a replica later than 2000 ms after it was gone "
                    + "from the store", answers, late);
                exit = runs.size() < 500 ? 2 : late == 0 ? 0 : Record.BROKEN;
            }
        } catch (IOException | RuntimeException failure) {
            failure.printStackTrace();
        }
        System.exit(exit);
    }

    /** Replaces one replica by another one; returns the bookings that reached the old one too late. */
    private static int replace(Replica old, Replica next, Store store, boolean trouble, Record record)
        throws IOException, InterruptedException {
        store.put("servers", next.id, next.entry("portal", "ready"), null);
        Thread.sleep(100);
        store.remove("servers", old.id);
        old.leftAt = System.nanoTime();
        record.say("%s has started, and the entry of %s is removed, acknowledged at %d ms", next.id, old.id, record.millis());
        Thread.sleep(300);
        if (trouble) {
            store.cutWatches();
            record.say("the store cuts off the watches that are waiting, %d ms", record.millis());
        }
        Thread.sleep(SERVES_ON_MILLIS - 300);
        old.exit();
        record.say("%s exits, %d ms", old.id, record.millis());
        Thread.sleep(3_000);
        return old.arrivalsAfterLeaving.get();
    }

    private static void book(int user, int port, long end, Map<Integer, AtomicInteger> answers, Record record) {
        Client client = null;
        for (int number = 0; System.nanoTime() < end; number++) {
            String attempt = String.format("%04d%06d", user, number);
            Map<String, String> headers = new LinkedHashMap<>(
                Map.of("X-Almondhaven-Attempt-Id", attempt, "X-Almondhaven-Deadline-Ms", "1000", "Api-Key", "key-of-tenant-1"));
            try {
                if (client == null) client = new Client(port);
                record.line("client sends %s", attempt);
                Http.Message answer = client.call("POST", "/book/meadow", headers, "{\"crews\":1}".getBytes(), 2_500);
                record.line("client gets %d for %s", answer.status(), attempt);
                answers.computeIfAbsent(answer.status(), none -> new AtomicInteger()).incrementAndGet();
                Thread.sleep(60);
            } catch (IOException | InterruptedException lost) {
                record.line("client gets no answer for %s: %s", attempt, lost.getMessage());
                if (client != null) client.close();
                client = null;
            }
        }
    }

    private static Map<String, Object> configuration() {
        return Json.parseObject("""
            {"version":7,"routes":[{"name":"book","hostname":"portal.example","pathPrefix":"/book/","kind":"non_idempotent",
            "timeoutMs":1000,"targetLatencyMs":193,"priority":2,"service":"portal","maxAttempts":1,"public":false}],
            "services":[{"name":"portal","healthPath":"/health","maxConns":110}],
            "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
            "tenants":[{"name":"tenant-1","apiKeys":["key-of-tenant-1"]}]}""");
    }
}
