import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** Clients that read a long answer slowly for some seconds, from a router that is told to stop meanwhile. */
final class Case15 {
    private static final int CLIENTS = 6;
    private static final int ANSWER_BYTES = 4_150_000;
    private static final int SLOW_BYTES_PER_SECOND = 20_000;

    /** Seconds after the request at which the SIGTERM comes, and at which the clients read quickly again. */
    private static final double STOP_AT = 9.0;
    private static final double FAST_AT = 16.0;
    private static final double GRACE = 8.0;

    public static void main(String[] arguments) throws Exception {
        Path root = Path.of(arguments[0]);
        Path folder = Path.of(arguments[1]);
        Stand.openRecord(Path.of(arguments[2]));
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Map<String, Double> answered = new ConcurrentHashMap<>();
        Replica.Behaviour behaviour = (replica, request, socket, out) -> {
            String attempt = request.header("X-Almondhaven-Attempt-Id");
            Thread.sleep(20);
            Replica.respond(out, 200, attempt, "", attempt.startsWith("long-") ? new byte[ANSWER_BYTES] : "ok\n".getBytes());
            answered.put(attempt, Stand.seconds());
            Stand.log("replica " + replica.id + " has sent all of its answer to " + attempt);
        };
        Store store = new Store("127.0.0.1");
        Replica replica = new Replica("i-list", "127.0.0.1", behaviour);
        store.put("servers", replica.id, replica.entry("price-list", "cwm-a", 6));
        store.put("config", "main", Config.of(7, List.of(Config.route("r-list", "/list/", "idempotent", "price-list", 60_000,
            200, 2)), List.of(Config.service("price-list"))));
        Router router = new Router("front-cwm-a-1", "cwm-a", root, folder, store, Router.bounds());
        router.start();
        if (!router.awaitReady(20_000)) Stand.finish(2, "the router isn't ready");
        AtomicInteger complete = new AtomicInteger();
        List<String> cut = new ArrayList<>();
        double[] stopped = {Double.MAX_VALUE};
        double start = Stand.seconds();
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            String id = "long-" + i;
            int delay = 100 * i;
            clients.add(Stand.daemon(() -> {
                int received = 0;
                try (Client client = new Client(router.front, 4_096)) {
                    client.socket.setSoTimeout(20_000);
                    client.send("GET", "/list/a", "short-" + id, 5_000, Config.KEY, "", new byte[0]);
                    client.read();
                    Thread.sleep(delay);
                    client.send("GET", "/list/all", id, 55_000, Config.KEY, "", new byte[0]);
                    Http.Message answer = Http.readHead(client.in);
                    int length = Integer.parseInt(answer.header("Content-Length"));
                    Stand.log(id + " gets " + answer.startLine + " with " + length + " bytes");
                    byte[] bytes = new byte[SLOW_BYTES_PER_SECOND / 10];
                    while (received < length) {
                        int read = client.in.read(bytes, 0, Math.min(bytes.length, length - received));
                        if (read < 0) throw new java.io.EOFException("the connection has ended");
                        received += read;
                        if (trouble && Stand.seconds() < start + FAST_AT) Thread.sleep(100);
                    }
                    complete.incrementAndGet();
                    Stand.log(id + " has the whole answer");
                } catch (Exception ended) {
                    double now = Stand.seconds();
                    Stand.log(id + " ends with " + received + " of " + ANSWER_BYTES + " bytes, "
                        + String.format("%.2f", now - stopped[0]) + " s after the SIGTERM: " + ended.getMessage());
                    if (answered.containsKey(id) && now < stopped[0] + GRACE - 0.3) synchronized (cut) {
                        cut.add(id);
                    }
                }
            }));
        }
        Thread.sleep((long) (STOP_AT * 1000));
        if (trouble) {
            stopped[0] = Stand.seconds();
            router.signal("TERM");
            Stand.log("SIGTERM to the router");
        }
        for (Thread client : clients) client.join(30_000);
        Stand.log("the router's process is " + (router.isAlive() ? "alive" : "ended"));
        String counts = complete + " of " + CLIENTS + " answers complete, " + cut.size() + " cut by the router";
        if (cut.size() > 3) Stand.finish(1, "LOST broken: " + counts);
        Stand.finish(complete.get() == CLIENTS ? 0 : 2, "LOST held: " + counts);
    }
}
