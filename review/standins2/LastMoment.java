import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Routers of zones with one machine each are stopped and started again, while orders arrive on new connections. A zone
 * whose only machine is out of rotation still gets its clients' connections, until the process has ended.
 */
final class LastMoment {
    private static final int ROUTERS = 8;
    private static final int CYCLES = 12;
    private static final double PER_SECOND = 20;

    /** With the 2.5 s that a stop takes, the last requests come more than `contactMs` after the start. */
    private static final long RUN_BEFORE_STOP_MILLIS = 1_500;
    private static final long LAST_START_MILLIS = 55_000;
    private static final long LATEST_END_MILLIS = 85_000;
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
        String route = Kit.plainRoute("order", "/order/", "non_idempotent", "order-desk", 1_500, 1);
        store.put("config", "main", Kit.configuration(route, 0));
        List<Thread> threads = new ArrayList<>();
        for (int number = 0; number < ROUTERS; number++) {
            String zone = "cwm-" + (char) ('a' + number);
            Kit.Router router = new Kit.Router(folder, "front-" + zone + "-1", zone, store);
            threads.add(Kit.spawn(() -> cycle(router)));
        }
        for (Thread thread : threads) thread.join(Math.max(1, (long) (LATEST_END_MILLIS - Kit.now())));
        Kit.finish(LOST.get() > 0, LOST + " orders ran and their connections ended without an answer, in " + STOPS
            + " planned stops; " + SERVED + " served, " + REFUSED + " refused");
    }

    private static void cycle(Kit.Router router) {
        try {
            for (int cycle = 0; cycle < CYCLES && Kit.now() < LAST_START_MILLIS; cycle++) {
                router.start();
                router.awaitReady();
                double readyAt = Kit.now();
                double stoppedAt = Double.NaN;
                while (router.process.isAlive()) {
                    if (Kit.trouble() && Double.isNaN(stoppedAt) && Kit.now() - readyAt > RUN_BEFORE_STOP_MILLIS) {
                        router.signal("TERM");
                        stoppedAt = Kit.now();
                        STOPS.incrementAndGet();
                    }
                    if (!Kit.trouble() && Kit.now() - readyAt > CALM_MILLIS) return;
                    double at = stoppedAt;
                    Kit.spawn(() -> call(router, at));
                    double pause = -Math.log(1 - ThreadLocalRandom.current().nextDouble()) * 1_000 / PER_SECOND;
                    Kit.sleep(1 + (long) pause);
                }
                Kit.sleep(300);
            }
        } catch (IOException failed) {
            Kit.cannotRun("" + failed);
        }
    }

    private static void call(Kit.Router router, double stoppedAt) {
        String id = Kit.newId();
        double at = Kit.now();
        try {
            Kit.Client client = new Kit.Client(router.front);
            Kit.Message answer = client.exchange(Kit.request("POST", "/order/1", id, 1_500, 600));
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
