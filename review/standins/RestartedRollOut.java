import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/**
 * Sessions whose requests reach both routers in turn, while a good version is rolled out in 24 s. With TROUBLE, one router
 * is restarted as planned (SIGTERM) in the first half of the roll-out. The rule: at most three requests run on another
 * version than the one before in their session, on the old one though the new one is good (PINNED).
 */
final class RestartedRollOut {
    private static final int SESSIONS = 20;
    private static final int PAUSE_MILLIS = 700;
    private static final int ROLL_OUT_SECONDS = 24;
    private static final int RESTART_AT_SECONDS = 4;

    /** contactMs and sessionS of the bounds. */
    private static final long CONTACT_MILLIS = 3_000;
    private static final long SESSION_MILLIS = 5_000;

    private record Run(String version, long sentAt, long endedAt, int router) {}

    private static final Map<String, String> versionOf = new ConcurrentHashMap<>();
    private static final Map<Integer, List<Run>> sessions = new ConcurrentHashMap<>();

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Path folder = Files.createTempDirectory("review");
        int exit = 2;
        try (Record record = new Record(Path.of(arguments[0]))) {
            Store store = new Store(500, 4);
            store.put("config", "main", configuration(), null);
            Engine.RunListener listener = (engine, request) -> {
                String attempt = request.header("X-Almondhaven-Attempt-Id");
                versionOf.put(attempt, engine.version);
                record.line("replica %s of %s runs %s", engine.id, engine.version, attempt);
            };
            List<Engine> old = List.of(new Engine("i-1", "v1", 4, 15, listener), new Engine("i-2", "v1", 4, 15, listener));
            List<Engine> target = List.of(new Engine("i-3", "v2", 4, 15, listener), new Engine("i-4", "v2", 4, 15, listener));
            for (Engine engine : old) store.put("servers", engine.id, engine.entry("pisar", "ready"), null);
            try (Routers routers = new Routers(2, store, folder)) {
                routers.awaitReady();
                record.say("2 routers, %d sessions, trouble=%s", SESSIONS, trouble);
                long end = System.nanoTime() + (ROLL_OUT_SECONDS + 6) * 1_000_000_000L;
                List<Thread> clients = new ArrayList<>();
                for (int i = 0; i < SESSIONS; i++) {
                    int session = i;
                    clients.add(Http.daemon(() -> converse(session, routers, end, record)));
                }
                Thread.sleep(2_000);
                for (Engine engine : target) store.put("servers", engine.id, engine.entry("pisar", "ready"), null);
                store.put("rollouts", "pisar", Json.object("service", "pisar", "target", "v2", "durationS", ROLL_OUT_SECONDS), null);
                long orderedAt = record.millis();
                record.say("roll-out of v2 ordered at %d ms", orderedAt);
                Http.daemon(() -> stopOldOnceDone(store, old, record));
                long inTouchAt = 0;
                if (trouble) {
                    Thread.sleep(RESTART_AT_SECONDS * 1_000L);
                    Routers.Router router = routers.all.get(1);
                    record.say("SIGTERM to %s at %d ms", router.name, record.millis());
                    router.process.toHandle().destroy();
                    if (!router.process.waitFor(8, TimeUnit.SECONDS)) router.process.destroyForcibly().waitFor();
                    router.start();
                    inTouchAt = record.millis() + CONTACT_MILLIS;
                    record.say("%s started again, in touch from %d ms", router.name, inTouchAt);
                }
                for (Thread client : clients) client.join();
                exit = judge(orderedAt, inTouchAt, record);
            }
        } catch (IOException | RuntimeException failure) {
            failure.printStackTrace();
        }
        System.exit(exit);
    }

    /** Counts what the rule forbids; requests at a restarted router count once that is in touch. */
    private static int judge(long orderedAt, long inTouchAt, Record record) {
        int pairs = 0;
        int early = 0;
        int back = 0;
        for (List<Run> runs : sessions.values()) {
            for (int i = 1; i < runs.size(); i++) {
                Run before = runs.get(i - 1);
                Run run = runs.get(i);
                boolean counts = run.sentAt - before.endedAt < SESSION_MILLIS && (run.router == 0 || run.sentAt >= inTouchAt);
                if (!counts) continue;
                pairs++;
                if (before.version.equals("v2") && run.version.equals("v1")) back++;
                boolean isFirstHalf = run.sentAt < orderedAt + ROLL_OUT_SECONDS * 500L;
                if (before.version.equals("v1") && run.version.equals("v2") && isFirstHalf) early++;
            }
        }
        record.say("PINNED: of %d requests that follow another one in their session %d went back to the old version and %d "
            + "moved to the new one in the first half", pairs, back, early);
        return pairs < 200 ? 2 : back + early > 3 ? Record.BROKEN : 0;
    }

    /** The platform: at `done` the old replicas are gone. */
    private static void stopOldOnceDone(Store store, List<Engine> old, Record record) {
        try {
            while (!"done".equals(store.status("rollouts", "pisar"))) Thread.sleep(10);
            record.say("the roll-out is done at %d ms", record.millis());
            for (Engine engine : old) {
                store.remove("servers", engine.id);
                engine.stop();
            }
        } catch (InterruptedException | IOException ended) {
            record.line("the platform ended: %s", ended.getMessage());
        }
    }

    /** One session: its requests reach the routers in turn, as far as these take connections. */
    private static void converse(int session, Routers routers, long end, Record record) {
        List<Run> runs = new ArrayList<>();
        sessions.put(session, runs);
        try {
            Thread.sleep(session * 31L);
            for (int number = 0; System.nanoTime() < end; number++) {
                int router = number % 2;
                if (!routers.all.get(router).isReady()) router = 1 - router;
                String attempt = "s" + session + "-" + number;
                Map<String, String> headers = new LinkedHashMap<>(Map.of("X-Almondhaven-Attempt-Id", attempt, "Session", "s" + session,
                    "X-Almondhaven-Deadline-Ms", "20000", "X-Almondhaven-Model", "m1", "X-Almondhaven-Token-Usage", "628,24",
                    "X-Almondhaven-Prompt-Prefix", "5c1e07a2:119,91bd3f06:79,e4402b7" + session + ":430", "Api-Key", "key-of-tenant-1"));
                long sentAt = record.millis();
                try (Client client = new Client(routers.all.get(router).front)) {
                    record.line("client sends %s", attempt);
                    Http.Message answer = client.call("POST", "/caption/page", headers, "{}".getBytes(), 21_000);
                    String version = versionOf.get(attempt);
                    record.line("router %d answers %s with %d, ran on %s", router + 1, attempt, answer.status(), version);
                    if (answer.status() == 200 && version != null) runs.add(new Run(version, sentAt, record.millis(), router));
                } catch (IOException lost) {
                    record.line("router %d gives no answer to %s: %s", router + 1, attempt, lost.getMessage());
                }
                Thread.sleep(PAUSE_MILLIS);
            }
        } catch (InterruptedException ended) {
            Thread.currentThread().interrupt();
        }
    }

    private static Map<String, Object> configuration() {
        return Json.parseObject("""
            {"version":7,"routes":[{"name":"caption","hostname":"portal.example","pathPrefix":"/caption/","kind":"streaming",
            "timeoutMs":20000,"targetLatencyMs":1000,"priority":0,"service":"pisar","maxAttempts":3,"public":false,"sticky":true,
            "resumable":true,"targetGapMs":800}],"services":[{"name":"pisar","healthPath":"/health","maxConns":370,
            "engine":{"slots":64,"kvCapacity":553559,"stride":6,"models":[{"name":"m1","cost":0.18}]}}],
            "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
            "tenants":[{"name":"tenant-1","apiKeys":["key-of-tenant-1"]}]}""");
    }
}
