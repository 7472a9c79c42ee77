import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** Many users come at once, and leave; later requests come when the router has had time to recover. */
final class Case11 {
    private static final int BURST = 800;
    private static final int USUAL = 80;
    private static final int BODY_BYTES = 72_000;
    private static final int WORK_MILLIS = 3_000;
    private static final int LATER = 20;
    private static final int TIMEOUT_MILLIS = 3_000;

    public static void main(String[] arguments) throws Exception {
        Path root = Path.of(arguments[0]);
        Path folder = Path.of(arguments[1]);
        Stand.openRecord(Path.of(arguments[2]));
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Map<String, Boolean> ran = new ConcurrentHashMap<>();
        Replica.Behaviour behaviour = (replica, request, socket, out) -> {
            String attempt = request.header("X-Almondhaven-Attempt-Id");
            ran.put(attempt, true);
            Thread.sleep(attempt.startsWith("order-") ? WORK_MILLIS : 20);
            Replica.respond(out, 200, attempt, "", "ok\n".getBytes());
        };
        Store store = new Store("127.0.0.1");
        for (int i = 0; i < 6; i++) {
            Replica replica = new Replica("i-" + i, "127.0.0.1", behaviour);
            store.put("servers", replica.id, replica.entry("order-desk", "cwm-a", 200));
        }
        store.put("config", "main", Config.of(7, List.of(
            Config.route("r-order", "/order/", "non_idempotent", "order-desk", 10_000, 200, 1),
            Config.route("r-look", "/look/", "idempotent", "order-desk", TIMEOUT_MILLIS, 200, 2)),
            List.of(Config.service("order-desk"))));
        Router router = new Router("front-cwm-a-1", "cwm-a", root, folder, store, Router.bounds());
        router.start();
        if (!router.awaitReady(20_000)) Stand.finish(2, "the router isn't ready");
        int count = trouble ? BURST : USUAL;
        Stand.log(count + " clients send one request of " + BODY_BYTES + " bytes each");
        Map<String, AtomicInteger> results = new TreeMap<>();
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            String id = "order-" + i;
            clients.add(Stand.daemon(() -> {
                String result;
                try (Client client = new Client(router.front, 0)) {
                    client.socket.setSoTimeout(10_000);
                    client.send("POST", "/order/a", id, 9_000, Config.KEY, "", new byte[BODY_BYTES]);
                    Http.Message answer = client.read();
                    result = answer == null ? "connection closed" : "status " + answer.status();
                } catch (Exception failure) {
                    result = failure.getMessage();
                }
                Stand.log(id + ": " + result);
                String line = result + (ran.containsKey(id) ? ", has run" : ", has not run");
                synchronized (results) {
                    results.computeIfAbsent(line, l -> new AtomicInteger()).incrementAndGet();
                }
            }));
        }
        for (Thread client : clients) client.join(30_000);
        synchronized (results) {
            results.forEach((result, number) -> Stand.log(number + " of " + count + ": " + result));
        }
        Stand.log("all clients have left; ready " + router.readiness());
        Thread.sleep(12_000);
        AtomicInteger unanswered = new AtomicInteger();
        List<Thread> later = new ArrayList<>();
        for (int i = 0; i < LATER; i++) {
            String id = "look-" + i;
            later.add(Stand.daemon(() -> {
                String result;
                long sent = System.nanoTime();
                try (Client client = new Client(router.front, 0)) {
                    client.socket.setSoTimeout(TIMEOUT_MILLIS + 1_500);
                    client.send("GET", "/look/a", id, TIMEOUT_MILLIS + 2_000, Config.KEY, "", new byte[0]);
                    Http.Message answer = client.read();
                    result = answer == null ? "connection closed" : "status " + answer.status();
                } catch (Exception failure) {
                    result = failure.getMessage();
                }
                double took = (System.nanoTime() - sent) / 1e9;
                if (took > (TIMEOUT_MILLIS + 500) / 1e3) unanswered.incrementAndGet();
                Stand.log(String.format("request %s, 12 s after the last client has left: %s after %.2f s", id, result, took));
            }));
            Thread.sleep(100);
        }
        for (Thread client : later) client.join(10_000);
        Stand.log("ready " + router.readiness() + ", process alive " + router.isAlive());
        for (String line : Files.readAllLines(router.log())) {
            if (line.contains("OutOfMemoryError")) Stand.log("the router has written: " + line);
        }
        String counts = unanswered + " of " + LATER + " requests unanswered 0.5 s after their route's timeoutMs";
        if (unanswered.get() >= 8 && unanswered.get() > LATER / 2) Stand.finish(1, "CONFIG broken: " + counts);
        Stand.finish(unanswered.get() == 0 ? 0 : 2, "CONFIG held: " + counts);
    }
}
