import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Streams of a service whose route has `sizes`. With TROUBLE, a new configuration adds a second such route, whose streams
 * may not be resumed. The rule: a stream that may not be resumed runs at most once (TWICE).
 */
final class AddedStream {
    private static final int CLIENTS = 4;
    private static final int SECONDS = 15;

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Path folder = Files.createTempDirectory("review");
        int exit = 2;
        Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();
        try (Record record = new Record(Path.of(arguments[0]))) {
            Store store = new Store(500, 4);
            store.put("config", "main", configuration(7, false), null);
            Engine.RunListener listener = (engine, request) -> {
                String attempt = request.header("X-Almondhaven-Attempt-Id");
                int times = runs.computeIfAbsent(attempt, none -> new AtomicInteger()).incrementAndGet();
                record.line("replica %s runs %s %s on %s, run %d", engine.id, request.target(), attempt,
                    request.header("X-Almondhaven-Model"), times);
            };
            for (Engine engine : List.of(new Engine("i-1", "v1", 20, 15, listener), new Engine("i-2", "v1", 20, 15, listener))) {
                store.put("servers", engine.id, engine.entry("pisar", "ready"), null);
            }
            try (Routers routers = new Routers(2, store, folder)) {
                routers.awaitReady();
                record.say("2 routers, 2 replicas, %d clients, trouble=%s", CLIENTS, trouble);
                if (trouble) {
                    store.put("config", "main", configuration(9, true), null);
                    record.say("configuration 9 adds the route draft, which is not resumable; acknowledged");
                    Thread.sleep(3_000);
                }
                AtomicInteger answered = new AtomicInteger();
                long end = System.nanoTime() + SECONDS * 1_000_000_000L;
                Thread[] clients = new Thread[CLIENTS];
                for (int i = 0; i < CLIENTS; i++) {
                    int client = i;
                    String path = trouble && client % 2 == 0 ? "/draft/page" : "/caption/page";
                    clients[i] = Http.daemon(() -> read(client, path, routers.all.get(client / 2 % 2).front, end, answered, record));
                }
                for (Thread client : clients) client.join();
                List<String> twice = runs.entrySet().stream()
                    .filter(run -> run.getKey().startsWith("draft") && run.getValue().get() > 1).map(Map.Entry::getKey).toList();
                record.say("answered %d; TWICE: %d streams that may not be resumed ran more than once", answered.get(), twice.size());
                exit = answered.get() < 20 ? 2 : twice.isEmpty() ? 0 : Record.BROKEN;
            }
        } catch (IOException | RuntimeException failure) {
            failure.printStackTrace();
        }
        System.exit(exit);
    }

    private static void read(int number, String path, int port, long end, AtomicInteger answered, Record record) {
        try (Client client = new Client(port)) {
            for (int count = 0; System.nanoTime() < end; count++) {
                String attempt = path.split("/")[1] + number + "-" + count;
                Map<String, String> headers = new LinkedHashMap<>(Map.of("X-Almondhaven-Attempt-Id", attempt,
                    "X-Almondhaven-Deadline-Ms", "20000", "X-Almondhaven-Model", "*", "X-Almondhaven-Token-Usage", "628,290",
                    "X-Almondhaven-Prompt-Prefix", "5c1e07a2:119,91bd3f06:79,e4402b7d:430", "Api-Key", "key-of-tenant-1"));
                record.line("client sends %s", attempt);
                Http.Message answer = client.call("POST", path, headers, "{}".getBytes(), 21_000);
                record.line("client gets %d for %s, whole: %s", answer.status(), attempt, answer.isWhole);
                if (answer.status() == 200 && answer.isWhole) answered.incrementAndGet();
                Thread.sleep(20);
            }
        } catch (IOException | InterruptedException ended) {
            record.line("client %d: %s", number, ended.getMessage());
        }
    }

    private static Map<String, Object> configuration(int version, boolean withDraft) {
        String route = """
            {"name":"NAME","hostname":"portal.example","pathPrefix":"/NAME/","kind":"streaming","timeoutMs":20000,
            "targetLatencyMs":1000,"priority":0,"sizes":["m0","m1","m2"],"service":"pisar","maxAttempts":3,"public":false,
            "sticky":true,"resumable":RESUMABLE,"targetGapMs":800}""";
        String routes = route.replace("NAME", "caption").replace("RESUMABLE", "true");
        if (withDraft) routes += "," + route.replace("NAME", "draft").replace("RESUMABLE", "false");
        return Json.parseObject("{\"version\":" + version + ",\"routes\":[" + routes + """
            ],"services":[{"name":"pisar","healthPath":"/health","maxConns":370,"engine":{"slots":64,"kvCapacity":553559,
            "stride":6,"models":[{"name":"m0","cost":0.023},{"name":"m1","cost":0.18},{"name":"m2","cost":0.35}]}}],
            "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
            "tenants":[{"name":"tenant-1","apiKeys":["key-of-tenant-1"]}]}""");
    }
}
