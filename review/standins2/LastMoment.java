import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Routers of zones with one machine each are stopped in turn and started again, while bookings arrive on new connections.
 * A zone whose only machine is out of rotation still gets its clients' connections, until the process has ended.
 */
final class LastMoment {
    private static final int ROUTERS = 4;
    private static final double PER_SECOND = 25.2;

    /** With {@link #LEAST_RUN_MILLIS} 1.3 s; a router has run for longer than `contactMs` when its stop ends. */
    private static final long GAP_MILLIS = 800;
    private static final long LEAST_RUN_MILLIS = 500;
    private static final long RESTART_MILLIS = 300;
    private static final long LAST_STOP_MILLIS = 92_000;
    private static final long CALM_MILLIS = 20_000;
    private static final Set<String> RAN = ConcurrentHashMap.newKeySet();
    private static final AtomicInteger STOPS = new AtomicInteger();
    private static final AtomicInteger SERVED = new AtomicInteger();
    private static final AtomicInteger REFUSED = new AtomicInteger();
    private static final AtomicInteger LOST = new AtomicInteger();

    public static void main(String[] arguments) throws Exception {
        Kit.openRecord(Path.of(arguments[0], "record.txt"));
        Path folder = Path.of(arguments[1]);
        Kit.Store store = new Kit.Store();
        Kit.Replica replica = new Kit.Replica("i-0001") {
            @Override
            void onRun(Kit.Message request) {
                RAN.add(request.header("X-Almondhaven-Attempt-Id"));
            }
        };
        replica.workMillis = 30;
        store.put("servers", replica.id, Kit.serverSpec("order-desk", replica.port, "cwm-a", "ready", 64, 0));
        String route = Kit.plainRoute("order", "/order/", "non_idempotent", "order-desk", 1_000, 1);
        store.put("config", "main", Kit.configuration(route, 0));
        List<Kit.Router> routers = new ArrayList<>();
        for (int number = 0; number < ROUTERS; number++) {
            String zone = "zone-" + (char) ('a' + number);
            routers.add(new Kit.Router(folder, "front-" + zone + "-1", zone, store).start());
        }
        for (Kit.Router router : routers) router.awaitReady();
        Map<Kit.Router, Double> stoppedAt = new ConcurrentHashMap<>();
        for (Kit.Router router : routers) Kit.spawn(() -> arrive(router, stoppedAt));
        Kit.sleep(4_000);
        for (int turn = 0; Kit.trouble() && Kit.now() < LAST_STOP_MILLIS; turn++) {
            Kit.Router router = routers.get(turn % ROUTERS);
            router.awaitReady();
            Kit.sleep(LEAST_RUN_MILLIS);
            stoppedAt.put(router, Kit.now());
            router.signal("TERM");
            STOPS.incrementAndGet();
            Kit.spawn(() -> restart(router, stoppedAt));
            Kit.sleep(GAP_MILLIS);
        }
        Kit.sleep(Kit.trouble() ? 4_000 : CALM_MILLIS);
        Kit.finish(LOST.get() > 0, LOST + " orders ran and their connections ended without an answer, in " + STOPS
            + " planned stops; " + SERVED + " served, " + REFUSED + " refused");
    }

    /** Starts the router again when it has ended. */
    private static void restart(Kit.Router router, Map<Kit.Router, Double> stoppedAt) {
        try {
            router.process.waitFor();
            Kit.sleep(RESTART_MILLIS);
            router.start();
            stoppedAt.remove(router);
        } catch (IOException | InterruptedException failed) {
            Kit.cannotRun("" + failed);
        }
    }

    private static void arrive(Kit.Router router, Map<Kit.Router, Double> stoppedAt) {
        while (true) {
            double at = stoppedAt.getOrDefault(router, Double.NaN);
            Kit.spawn(() -> call(router, at));
            double pause = -Math.log(1 - ThreadLocalRandom.current().nextDouble()) * 1_000 / PER_SECOND;
            Kit.sleep(1 + (long) pause);
        }
    }

    private static void call(Kit.Router router, double stoppedAt) {
        String id = Kit.newId();
        double at = Kit.now();
        try {
            Kit.Client client = new Kit.Client(router.front);
            Kit.Message answer = client.exchange(id, Kit.request("POST", "/order/1", id, 1_000, 600));
            client.close();
            if (answer != null) {
                if (answer.first.contains(" 200 ")) SERVED.incrementAndGet();
                else REFUSED.incrementAndGet();
                return;
            }
            if (!RAN.contains(id)) return;
            LOST.incrementAndGet();
            Kit.log("order " + id + " was sent to " + router.name + " " + (long) (at - stoppedAt)
                + " ms after SIGTERM, ran, and its connection ended without an answer after "
                + (long) (Kit.now() - at) + " ms");
        } catch (IOException refused) {
            REFUSED.incrementAndGet();
        }
    }
}
