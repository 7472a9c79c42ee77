import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Replicas of a service are replaced. With TROUBLE, the store is silent for 0.6 s in the meantime, and sound before and
 * after. Long after that a replica says that it leaves. The rule: later than drainMs after the acknowledgement no request
 * reaches it (DRAIN).
 */
final class SilentStore {
    private static final int USERS = 20;
    private static final long SILENT_MILLIS = 600;

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Path folder = Files.createTempDirectory("review");
        int exit = 2;
        Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();
        AtomicInteger answered = new AtomicInteger();
        try (Record record = new Record(Path.of(arguments[0]))) {
            Store store = new Store(500, 4);
            store.put("config", "main", configuration(), null);
            List<Replica> replicas = List.of(new Replica("i-1", 6, 24, 43, record, runs), new Replica("i-2", 6, 24, 43, record, runs),
                new Replica("i-3", 6, 24, 43, record, runs), new Replica("i-4", 6, 24, 43, record, runs));
            for (Replica replica : replicas) store.put("servers", replica.id, replica.entry("portal", "ready"), null);
            try (Routers routers = new Routers(2, store, folder)) {
                routers.awaitReady();
                record.say("2 routers, 4 replicas, %d users, trouble=%s", USERS, trouble);
                long end = System.nanoTime() + 30_000_000_000L;
                Thread[] users = new Thread[USERS];
                for (int i = 0; i < USERS; i++) {
                    int user = i;
                    users[i] = Http.daemon(() -> check(user, routers.all.get(user % 2).front, end, answered, record));
                }
                Thread.sleep(5_000);
                awaitConfigurationWatch(store);
                Replica started = new Replica("i-5", 6, 24, 43, record, runs);
                store.put("servers", started.id, started.entry("portal", "ready"), null);
                record.say("replica i-5 has started, %d ms", record.millis());
                Thread.sleep(400);
                if (trouble) {
                    record.say("the store is silent from %d ms for %d ms", record.millis(), SILENT_MILLIS);
                    store.silence(SILENT_MILLIS);
                }
                Thread.sleep(8_000);
                for (Replica replica : replicas.subList(0, 2)) {
                    store.put("servers", replica.id, replica.entry("portal", "draining"), null);
                    replica.leftAt = System.nanoTime();
                    record.say("the store has acknowledged at %d ms that %s leaves", record.millis(), replica.id);
                }
                for (Thread user : users) user.join();
                int late = replicas.get(0).arrivalsAfterLeaving.get() + replicas.get(1).arrivalsAfterLeaving.get();
                record.say("answered %d; DRAIN: %d requests reached a replica later than 2000 ms after that", answered.get(), late);
                exit = answered.get() < 500 ? 2 : late == 0 ? 0 : Record.BROKEN;
            }
        } catch (IOException | RuntimeException failure) {
            failure.printStackTrace();
        }
        System.exit(exit);
    }

    /** Waits for a moment just after the routers have sent their watches of the configuration, which last 2 s. */
    private static void awaitConfigurationWatch(Store store) throws InterruptedException {
        long before = store.lastConfigurationWatchAt;
        while (store.lastConfigurationWatchAt == before) Thread.sleep(5);
        Thread.sleep(100);
    }

    private static void check(int user, int port, long end, AtomicInteger answered, Record record) {
        Client client = null;
        for (int number = 0; System.nanoTime() < end; number++) {
            String attempt = String.format("%04d%06d", user, number);
            Map<String, String> headers = new LinkedHashMap<>(
                Map.of("X-Almondhaven-Attempt-Id", attempt, "X-Almondhaven-Deadline-Ms", "1000", "Api-Key", "key-of-tenant-1"));
            try {
                if (client == null) client = new Client(port);
                record.line("client sends %s", attempt);
                Http.Message answer = client.call("GET", "/check/meadow", headers, new byte[0], 2_500);
                record.line("client gets %d for %s", answer.status(), attempt);
                if (answer.status() == 200) answered.incrementAndGet();
                Thread.sleep(100);
            } catch (IOException | InterruptedException lost) {
                record.line("client gets no answer for %s: %s", attempt, lost.getMessage());
                if (client != null) client.close();
                client = null;
            }
        }
    }

    private static Map<String, Object> configuration() {
        return Json.parseObject("""
            {"version":7,"routes":[{"name":"check","hostname":"portal.example","pathPrefix":"/check/","kind":"idempotent",
            "timeoutMs":1000,"targetLatencyMs":193,"priority":2,"service":"portal","maxAttempts":2,"public":false}],
            "services":[{"name":"portal","healthPath":"/health","maxConns":110}],
            "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
            "tenants":[{"name":"tenant-1","apiKeys":["key-of-tenant-1"]}]}""");
    }
}
