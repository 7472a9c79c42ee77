import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A router is killed and started again while a replica starts to drain. The list of replicas takes two answers of the
 * store; the replica's entry stands in the first one, and changes before the second one is asked for.
 */
final class PagedList {
    private static final int OTHERS = 600;
    private static final int REPLICAS = 8;
    private static final int CLIENTS = 24;
    private static final int SLOTS = 6;

    /** The clients begin one after the other, since the router has just started. */
    private static final long CLIENT_START_MILLIS = 50;
    private static final long WORK_MILLIS = 80;
    private static final long DRAIN_MILLIS = 2_000;
    private static final long CONTACT_MILLIS = 3_000;

    /** How long the replica goes on serving after its report, "at times many seconds". */
    private static final long SERVES_MILLIS = 9_000;

    private record Arrival(String id, double at) {}

    private static final AtomicInteger SERVED = new AtomicInteger();
    private static final AtomicInteger CUT = new AtomicInteger();
    private static volatile boolean hasLeft = false;

    public static void main(String[] arguments) throws Exception {
        Kit.openRecord(Path.of(arguments[0], "record.txt"));
        Path folder = Path.of(arguments[1]);
        Kit.Store store = new Kit.Store();
        List<Arrival> arrivals = Collections.synchronizedList(new ArrayList<>());
        Map<String, String> runAt = new ConcurrentHashMap<>();
        Kit.Replica leaving = replica("i-0001", arrivals, runAt);
                store.put("servers", leaving.id, Kit.serverSpec("order-desk", leaving.port, "cwm-a", "ready", SLOTS, 0));
        for (int number = 2; number <= REPLICAS; number++) {
            List<Arrival> others = Collections.synchronizedList(new ArrayList<>());
            Kit.Replica staying = replica("i-000" + number, others, runAt);
            store.put("servers", staying.id, Kit.serverSpec("order-desk", staying.port, "cwm-a", "ready", SLOTS, 0));
        }
        // The replicas of another service of a large deployment. No route leads to them, so nothing is sent there.
        for (int number = 0; number < OTHERS; number++) {
            String address = "127.1." + number / 200 + "." + (number % 200 + 1);
            String spec = Kit.serverSpec("splitter-lm", 8_080, "cwm-a", "ready", 64, 0);
            store.put("servers", String.format("i-1%03d", number), spec.replace("127.0.0.1", address));
        }
        String route = Kit.plainRoute("order", "/order/", "non_idempotent", "order-desk", 1_500, 1);
        store.put("config", "main", Kit.configuration(route, 0));
        Kit.Router router = new Kit.Router(folder, "front-cwm-a-1", "cwm-a", store).start();
        router.awaitReady();
        Kit.sleep(2_000);

        double[] startedAt = {Double.NEGATIVE_INFINITY};
        double[] drainedAt = {Double.NaN};
        AtomicBoolean isFirst = new AtomicBoolean(true);
        store.observer = (call, answered) -> {
            if (!call.startsWith("GET /objects/servers") || call.contains("watch")) return;
            Kit.log((answered ? "store answers " : "store gets ") + call);
            if (!answered || call.contains("after=") || !isFirst.compareAndSet(true, false)) return;
            drain(store, leaving, drainedAt);
        };
        if (Kit.trouble()) {
            router.signal("KILL");
            router.process.waitFor();
            Kit.sleep(500);
            startedAt[0] = Kit.now();
            router.start();
            router.awaitReady();
        } else {
            drain(store, leaving, drainedAt);
        }
        for (int number = 0; number < CLIENTS; number++) {
            Kit.spawn(() -> call(router.front, runAt));
            Kit.sleep(CLIENT_START_MILLIS);
        }
        Kit.sleep((long) (drainedAt[0] + SERVES_MILLIS - Kit.now()));
        hasLeft = true;
        leaving.exit();
        store.remove("servers", leaving.id);
        Kit.log("replica " + leaving.id + " has ended");
        Kit.sleep(2_000);

        int late = 0;
        double last = 0;
        for (Arrival arrival : new ArrayList<>(arrivals)) {
            double after = arrival.at - drainedAt[0];
            if (after <= DRAIN_MILLIS || arrival.at - startedAt[0] <= CONTACT_MILLIS) continue;
            late++;
            last = Math.max(last, after);
        }
        String verdict = late + " requests reached the draining replica later than " + DRAIN_MILLIS
            + " ms after its entry was acknowledged, the last one " + (long) last + " ms after it; " + SERVED
            + " orders served, " + CUT + " that ran there got no answer of the replica";
        Kit.finish(late > 0, verdict);
    }

    private static Kit.Replica replica(String id, List<Arrival> arrivals, Map<String, String> runAt)
        throws IOException {
        Kit.Replica replica = new Kit.Replica(id) {
            @Override
            void onRun(Kit.Message request) {
                String attempt = request.header("X-Almondhaven-Attempt-Id");
                arrivals.add(new Arrival(attempt, Kit.now()));
                runAt.put(attempt, id);
            }
        };
        replica.workMillis = WORK_MILLIS;
        return replica;
    }

    private static void drain(Kit.Store store, Kit.Replica replica, double[] drainedAt) {
        store.put("servers", replica.id, Kit.serverSpec("order-desk", replica.port, "cwm-a", "draining", SLOTS, 0));
        drainedAt[0] = Kit.now();
        Kit.log("store acknowledged that replica " + replica.id + " is draining");
    }

    private static void call(int port, Map<String, String> runAt) {
        Kit.Client client = null;
        while (true) {
            try {
                if (client == null) client = new Kit.Client(port);
                String id = Kit.newId();
                Kit.Message answer = client.exchange(id, Kit.request("POST", "/order/1", id, 1_500, 600));
                if (answer != null && answer.first.contains(" 200 ")) {
                    SERVED.incrementAndGet();
                } else if (hasLeft && "i-0001".equals(runAt.get(id))) {
                    CUT.incrementAndGet();
                    Kit.log("order " + id + " ran at i-0001, its client got "
                        + (answer == null ? "a closed connection" : answer.first));
                }
                if (answer == null) {
                    client.close();
                    client = null;
                }
            } catch (IOException refused) {
                client = null;
            }
            Kit.sleep(20);
        }
    }
}
