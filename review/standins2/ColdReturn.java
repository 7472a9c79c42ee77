import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** A zone is taken back whose two replicas have become cold shortly before, one after the other. */
final class ColdReturn {
    private static final int CLIENTS = 12;
    private static final double COLD_PER_S = 6;
    private static final double OVERSHOOT = 1.5;
    private static final double SLACK = 5;
    private static final double BOUND = COLD_PER_S * OVERSHOOT + SLACK;

    /** Requests in one second at which a cold replica crashes: well above the rate that it tolerates. */
    private static final double CRASH_PER_S = COLD_PER_S * 3;
    private static final long COLD_MILLIS = 3_000;
    private static final long BETWEEN_MILLIS = 100;
    private static final long BEFORE_RETURN_MILLIS = 100;

    /** Without the disruption the replicas have been cold for longer when the zone is taken back. */
    private static final long CALM_BEFORE_RETURN_MILLIS = 1_500;

    private record Arrival(double sentAt, double arrivedAt) {}

    private static final Map<String, Double> SENT = new ConcurrentHashMap<>();
    private static final Map<String, String> RUN_AT = new ConcurrentHashMap<>();
    private static final AtomicInteger SERVED = new AtomicInteger();
    private static final AtomicInteger LOST = new AtomicInteger();

    /** A replica that counts what it gets while it is cold, and crashes if that is far too much. */
    private static final class ColdReplica extends Kit.Replica {
        final List<Arrival> arrivals = Collections.synchronizedList(new ArrayList<>());
        volatile double coldFrom = Double.POSITIVE_INFINITY;
        volatile boolean hasCrashed = false;

        ColdReplica(String id) throws IOException {
            super(id);
            workMillis = 43;
        }

        @Override
        void onRun(Kit.Message request) {
            String attempt = request.header("X-Almondhaven-Attempt-Id");
            RUN_AT.put(attempt, id);
            double now = Kit.now();
            if (now < coldFrom || now > coldFrom + COLD_MILLIS) return;
            arrivals.add(new Arrival(SENT.get(attempt), now));
            if (within(now) <= CRASH_PER_S || hasCrashed) return;
            hasCrashed = true;
            Kit.log("replica " + id + " crashes after " + within(now) + " requests in one second");
            exit();
        }

        /** Requests that were sent and arrived in the second before {@code end}. */
        private int within(double end) {
            int count = 0;
            for (Arrival arrival : new ArrayList<>(arrivals)) {
                if (arrival.arrivedAt <= end && arrival.sentAt > end - 1_000) count++;
            }
            return count;
        }

        int most() {
            int most = 0;
            for (Arrival arrival : new ArrayList<>(arrivals)) most = Math.max(most, within(arrival.arrivedAt));
            return most;
        }
    }

    public static void main(String[] arguments) throws Exception {
        Kit.openRecord(Path.of(arguments[0], "record.txt"));
        Path folder = Path.of(arguments[1]);
        Kit.Store store = new Kit.Store();
        List<ColdReplica> replicas = new ArrayList<>();
        for (String id : List.of("i-a1", "i-a2", "i-c1", "i-c2")) {
            replicas.add(new ColdReplica(id));
            list(store, replicas.get(replicas.size() - 1), 0);
        }
        String route = Kit.plainRoute("order", "/order/", "non_idempotent", "order-desk", 800, 1);
        store.put("config", "main", Kit.configuration(route, COLD_PER_S));
        Kit.Router router = new Kit.Router(folder, "front-cwm-c-1", "cwm-c", store).start();
        router.awaitReady();
        store.put("evacuations", "cwm-c", "{}");
        Kit.log("zone cwm-c is evacuated");
        Kit.sleep(1_000);
        for (int number = 0; number < CLIENTS; number++) Kit.spawn(() -> call(router.front));
        Kit.sleep(5_000);
        becomeCold(store, replicas.get(2));
        Kit.sleep(BETWEEN_MILLIS);
        becomeCold(store, replicas.get(3));
        Kit.sleep(Kit.trouble() ? BEFORE_RETURN_MILLIS : CALM_BEFORE_RETURN_MILLIS);
        store.remove("evacuations", "cwm-c");
        Kit.log("zone cwm-c is taken back");
        Kit.sleep(COLD_MILLIS);
        int worst = 0;
        for (ColdReplica replica : replicas) {
            Kit.log("replica " + replica.id + ": at most " + replica.most() + " requests in one second while cold");
            worst = Math.max(worst, replica.most());
        }
        String verdict = "a cold replica got " + worst + " requests in one second, " + BOUND + " are allowed; "
            + SERVED + " orders served, " + LOST + " lost in a crash";
        Kit.finish(worst > BOUND, verdict);
    }

    private static void becomeCold(Kit.Store store, ColdReplica replica) {
        replica.coldFrom = Kit.now();
        list(store, replica, COLD_MILLIS);
    }

    private static void list(Kit.Store store, Kit.Replica replica, long coldMillis) {
        String zone = "cwm-" + replica.id.charAt(2);
        store.put("servers", replica.id, Kit.serverSpec("order-desk", replica.port, zone, "ready", 6, coldMillis));
        Kit.log("store acknowledged replica " + replica.id + " in " + zone + ", coldLeftMs " + coldMillis);
    }

    private static void call(int port) {
        Kit.Client client = null;
        while (true) {
            try {
                if (client == null) client = new Kit.Client(port);
                String id = Kit.newId();
                SENT.put(id, Kit.now());
                Kit.Message answer = client.exchange(id, Kit.request("POST", "/order/1", id, 1_500, 600));
                if (answer != null && answer.first.contains(" 200 ")) {
                    SERVED.incrementAndGet();
                } else if (RUN_AT.containsKey(id)) {
                    LOST.incrementAndGet();
                    Kit.log("order " + id + " ran at " + RUN_AT.get(id) + ", its client got "
                        + (answer == null ? "a closed connection" : answer.first));
                }
                if (answer == null) {
                    client.close();
                    client = null;
                }
            } catch (IOException refused) {
                client = null;
            }
            Kit.sleep(60);
        }
    }
}
