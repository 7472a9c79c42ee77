import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** An entry of kind servers that comes from another writer and names no replica; then a replica drains. */
final class Case13 {
    private static final int WRITES = 8;
    private static final int HEARTBEAT_MILLIS = 1_200;
    private static final int ELEMENTS = 500_000;

    public static void main(String[] arguments) throws Exception {
        Path root = Path.of(arguments[0]);
        Path folder = Path.of(arguments[1]);
        Stand.openRecord(Path.of(arguments[2]));
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Map<String, String> ranAt = new ConcurrentHashMap<>();
        Replica.Behaviour behaviour = (replica, request, socket, out) -> {
            String attempt = request.header("X-Almondhaven-Attempt-Id");
            ranAt.put(attempt, replica.id);
            Thread.sleep(20);
            Replica.respond(out, 200, attempt, "", (replica.id + "\n").getBytes());
        };
        Store store = new Store("127.0.0.1");
        Replica leaving = new Replica("i-leaving", "127.0.0.1", behaviour);
        Replica staying = new Replica("i-staying", "127.0.0.1", behaviour);
        store.put("servers", leaving.id, leaving.entry("order-desk", "cwm-a", 6));
        store.put("servers", staying.id, staying.entry("order-desk", "cwm-a", 6));
        store.put("config", "main", Config.of(7, List.of(Config.route("r-look", "/look/", "idempotent", "order-desk", 10_000, 200,
            2)), List.of(Config.service("order-desk"))));
        Router router = new Router("front-cwm-a-1", "cwm-a", root, folder, store, Router.bounds());
        router.start();
        if (!router.awaitReady(20_000)) Stand.finish(2, "the router isn't ready");
        Thread.sleep(1_000);
        List<Object> data = new ArrayList<>(Collections.nCopies(trouble ? ELEMENTS : 1, 0L));
        for (int write = 1; write <= WRITES; write++) {
            Map<String, Object> spec = Json.map("service", 7L, "state", "unknown", "seqNo", (long) write, "data", data);
            store.put("servers", "other-writer", spec);
            Stand.log("another writer writes its entry for the " + write + "th time, " + Json.write(spec).length() + " bytes");
            Thread.sleep(HEARTBEAT_MILLIS);
        }
        Stand.log("GET /look/a -> " + get(router, "before", "/look/a") + ", ready " + router.readiness());
        Thread.sleep(5_000);
        Map<String, Object> entry = leaving.entry("order-desk", "cwm-a", 6);
        entry.put("state", "draining");
        store.put("servers", leaving.id, entry);
        Stand.log("the store has acknowledged that " + leaving.id + " drains");
        Thread.sleep(5_000);
        int late = 0;
        int sound = 0;
        for (int i = 0; i < 40; i++) {
            String id = "after-" + i;
            String answer = get(router, id, "/look/a");
            if (leaving.id.equals(ranAt.get(id))) late++;
            if (staying.id.equals(ranAt.get(id))) sound++;
            Stand.log("request " + id + ", sent more than 5 s after the acknowledgement: " + answer);
            Thread.sleep(100);
        }
        Stand.log("ready " + router.readiness() + ", process alive " + router.isAlive());
        String counts = late + " of 40 requests reached the replica that drains, " + sound + " the other one";
        if (late > 0) Stand.finish(1, "DRAIN broken: " + counts);
        Stand.finish(sound == 40 ? 0 : 2, "DRAIN held: " + counts);
    }

    private static String get(Router router, String id, String path) {
        try (Client client = new Client(router.front, 0)) {
            client.socket.setSoTimeout(5_000);
            client.send("GET", path, id, 5_000, Config.KEY, "", new byte[0]);
            Http.Message answer = client.read();
            return answer == null ? "closed" : answer.status() + " " + new String(answer.body).trim();
        } catch (Exception failure) {
            return failure.toString();
        }
    }
}
