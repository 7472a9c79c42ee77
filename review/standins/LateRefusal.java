import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Bookings (not idempotent) at a service of two replicas that are often full. With TROUBLE, one replica follows 3 in 100
 * of its answers with a late second copy, where the next answer is expected. The rules: what was answered 503 has not
 * run and never will (REFUSED), and no booking runs twice (TWICE).
 */
final class LateRefusal {
    private static final int USERS = 40;
    private static final int SECONDS = 85;

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Path folder = Files.createTempDirectory("review");
        Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();
        Map<String, Integer> answers = new ConcurrentHashMap<>();
        int exit = 2;
        try (Record record = new Record(Path.of(arguments[0]))) {
            Store store = new Store(500, 4);
            store.put("config", "main", configuration(), null);
            List<Replica> replicas = List.of(new Replica("i-1", 6, 6, 43, record, runs), new Replica("i-2", 6, 6, 43, record, runs));
            for (Replica replica : replicas) store.put("servers", replica.id, replica.entry("portal", "ready"), null);
            if (trouble) replicas.get(0).extraShare = 0.03;
            try (Routers routers = new Routers(2, store, folder)) {
                routers.awaitReady();
                record.say("2 routers, 2 replicas with 6 slots, %d users, trouble=%s", USERS, trouble);
                long end = System.nanoTime() + SECONDS * 1_000_000_000L;
                Thread[] users = new Thread[USERS];
                for (int i = 0; i < USERS; i++) {
                    int user = i;
                    users[i] = Http.daemon(() -> book(user, routers.all.get(user % 2).front, end, answers, record));
                }
                for (Thread user : users) user.join();
                // What was refused may not run later either.
                Thread.sleep(3_000);
            }
            long refused = answers.values().stream().filter(LateRefusal::isPromise).count();
            List<String> ran = answers.entrySet().stream()
                .filter(answer -> isPromise(answer.getValue()) && runs.containsKey(answer.getKey())).map(Map.Entry::getKey).toList();
            List<String> twice = runs.entrySet().stream().filter(run -> run.getValue().get() > 1).map(Map.Entry::getKey).toList();
            record.say("answered %d, of these refused %d", answers.size(), refused);
            record.say("REFUSED: %d were answered 503 and ran: %s", ran.size(), ran);
            record.say("TWICE: %d ran more than once: %s", twice.size(), twice);
            exit = answers.size() < 1_000 ? 2 : ran.isEmpty() && twice.isEmpty() ? 0 : Record.BROKEN;
        } catch (IOException | RuntimeException failure) {
            failure.printStackTrace();
        }
        System.exit(exit);
    }

    private static boolean isPromise(int status) {
        return List.of(408, 421, 429, 503).contains(status);
    }

    /** One user: books again and again on a kept connection, waits as Retry-After says after a refusal. */
    private static void book(int user, int port, long end, Map<String, Integer> answers, Record record) {
        Client client = null;
        for (int number = 0; System.nanoTime() < end; number++) {
            String attempt = String.format("%04d%06d", user, number);
            Map<String, String> headers = new LinkedHashMap<>(
                Map.of("X-Almondhaven-Attempt-Id", attempt, "X-Almondhaven-Deadline-Ms", "1000", "Api-Key", "key-of-tenant-1"));
            try {
                if (client == null) client = new Client(port);
                record.line("client sends %s", attempt);
                Http.Message answer = client.call("POST", "/book/meadow", headers, "{\"crews\":1}".getBytes(), 2_500);
                answers.put(attempt, answer.status());
                record.line("client gets %d for %s", answer.status(), attempt);
                if (answer.header("Connection").equalsIgnoreCase("close")) {
                    client.close();
                    client = null;
                }
                String pause = answer.header("Retry-After");
                Thread.sleep(pause.isEmpty() ? 5 : (long) (Double.parseDouble(pause) * 1_000));
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
