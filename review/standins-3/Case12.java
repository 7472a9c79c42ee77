import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** Many versions of a long configuration, and then a version that moves a route to another service. */
final class Case12 {
    private static final int MORE_ROUTES = 1400;
    private static final int CHANGES = 120;
    private static final int GAP_MILLIS = 330;

    public static void main(String[] arguments) throws Exception {
        Path root = Path.of(arguments[0]);
        Path folder = Path.of(arguments[1]);
        Stand.openRecord(Path.of(arguments[2]));
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Map<String, String> ranAt = new ConcurrentHashMap<>();
        Store store = new Store("127.0.0.1");
        Replica.Behaviour behaviour = (replica, request, socket, out) -> {
            String attempt = request.header("X-Almondhaven-Attempt-Id");
            ranAt.put(attempt, replica.id);
            Thread.sleep(20);
            Replica.respond(out, 200, attempt, "", (replica.id + "\n").getBytes());
        };
        Replica old = new Replica("i-old", "127.0.0.1", behaviour);
        Replica next = new Replica("i-new", "127.0.0.1", behaviour);
        store.put("servers", old.id, old.entry("price-list-old", "cwm-a", 6));
        store.put("servers", next.id, next.entry("price-list-new", "cwm-a", 6));
        int more = trouble ? MORE_ROUTES : 0;
        store.put("config", "main", configuration(1, more, 0, "price-list-old"));
        Stand.log("configuration of " + (2 + more) + " routes, "
            + Json.write(configuration(1, more, 0, "price-list-old")).length() + " bytes");
        Router router = new Router("front-cwm-a-1", "cwm-a", root, folder, store, Router.bounds());
        router.start();
        if (!router.awaitReady(20_000)) Stand.finish(2, "the router isn't ready");
        long version = 1;
        for (int change = 1; change <= CHANGES; change++) {
            version += 3;
            store.put("config", "main", configuration(version, more, change % 2, "price-list-old"));
            Thread.sleep(GAP_MILLIS);
            if (change % 10 == 0) {
                Stand.log("version " + version + ", the " + change + "th change: GET /look/a -> " + get(router, "before-" + change,
                    "/look/a") + ", GET /order/a -> " + get(router, "keyed-" + change, "/order/a") + ", ready "
                    + router.readiness() + ", process alive " + router.isAlive());
            }
        }
        version += 3;
        store.put("config", "main", configuration(version, more, 0, "price-list-new"));
        Stand.log("version " + version + " acknowledged: /look/ moves from price-list-old to price-list-new");
        Thread.sleep(5_000);
        int stale = 0;
        int current = 0;
        for (int i = 0; i < 20; i++) {
            String id = "after-" + i;
            String answer = get(router, id, "/look/a");
            String keyed = get(router, "after-keyed-" + i, "/order/a");
            if ("i-old".equals(ranAt.get(id))) stale++;
            if ("i-new".equals(ranAt.get(id))) current++;
            Stand.log("request " + id + ", sent more than 5 s after the acknowledgement: " + answer + ", run by " + ranAt.get(id)
                + "; with a key: " + keyed + "; ready " + router.readiness());
            Thread.sleep(500);
        }
        String counts = stale + " of 20 requests run by the old service, " + current + " by the new one";
        if (stale > 0) Stand.finish(1, "CONFIG broken: " + counts);
        Stand.finish(0, "CONFIG held: " + counts);
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

    /** One public route and one for keys; the other routes are those of other departments, which nobody calls here. */
    private static Map<String, Object> configuration(long version, int more, int odd, String service) {
        List<Object> routes = new ArrayList<>();
        Map<String, Object> look = Config.route("r-look", "/look/", "idempotent", service, 10_000, 200, 2);
        look.put("public", true);
        routes.add(look);
        routes.add(Config.route("r-order", "/order/", "idempotent", "price-list-old", 10_000 + odd, 200, 2));
        for (int i = 0; i < more; i++) {
            routes.add(Config.route("r-" + i, "/route" + i + "/", "idempotent", "price-list-old", 10_000, 200, 2));
        }
        return Config.of(version, routes, List.of(Config.service("price-list-old"), Config.service("price-list-new")));
    }
}
