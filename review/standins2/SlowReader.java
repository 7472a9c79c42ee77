import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Path;

/** Clients read long answers slowly while the router gets SIGTERM. */
final class SlowReader {
    private static final int CLIENTS = 4;
    private static final int ANSWER_BYTES = 4_190_000;
    private static final int RECEIVE_BUFFER = 32_768;

    /** So many bytes are read every 10 ms: an answer takes about five seconds, which fits into the grace period. */
    private static final int BYTES_PER_STEP = 8_500;
    private static final long GRACE_MILLIS = 8_000;

    private static final class Outcome {
        double sentAt;
        double endedAt;
        int expected = -1;
        int received;
        String end = "not finished";

        boolean isWhole() {
            return received == expected;
        }
    }

    public static void main(String[] arguments) throws Exception {
        Kit.openRecord(Path.of(arguments[0], "record.txt"));
        Path folder = Path.of(arguments[1]);
        Kit.Store store = new Kit.Store();
        Kit.Replica replica = new Kit.Replica("i-0001");
        replica.answer = new byte[ANSWER_BYTES];
        store.put("servers", replica.id, Kit.serverSpec("order-desk", replica.port, "cwm-a", "ready", 64, 0));
        store.put(
            "config",
            "main",
            Kit.configuration(Kit.plainRoute("order", "/order/", "non_idempotent", "order-desk", 15_000, 1), 0));
        Kit.Router router = new Kit.Router(folder, "front-cwm-a-1", "cwm-a", store).start();
        router.awaitReady();
        Kit.sleep(4_000);

        Outcome[] outcomes = new Outcome[CLIENTS];
        Thread[] clients = new Thread[CLIENTS];
        double[] stoppedAt = {Double.NaN};
        for (int number = 0; number < CLIENTS; number++) {
            Outcome outcome = outcomes[number] = new Outcome();
            // The first half of the requests is sent before the signal, the others after it.
            long delay = number < CLIENTS / 2 ? 0 : 2_350;
            clients[number] = Kit.spawn(() -> read(router.front, delay, outcome));
        }
        Kit.sleep(300);
        if (Kit.trouble()) {
            router.signal("TERM");
            stoppedAt[0] = Kit.now();
        }
        boolean exited = false;
        for (int step = 0; step < 120 && !exited; step++) {
            exited = router.process.waitFor(100, java.util.concurrent.TimeUnit.MILLISECONDS);
        }
        if (exited) Kit.log("the router's process ended " + (long) (Kit.now() - stoppedAt[0]) + " ms after SIGTERM");
        int cut = 0;
        for (int number = 0; number < CLIENTS; number++) {
            clients[number].join(15_000);
            Outcome outcome = outcomes[number];
            Kit.log("client " + number + ": sent at " + (long) outcome.sentAt + ", ended at " + (long) outcome.endedAt
                + " ms, got " + outcome.received + " of " + outcome.expected + " bytes, " + outcome.end);
            boolean inGrace = outcome.endedAt - stoppedAt[0] <= GRACE_MILLIS + 1_000;
            if (!outcome.isWhole() && (inGrace || !Kit.trouble())) cut++;
        }
        Kit.finish(cut > 0, cut + " of " + CLIENTS + " requests that the replica ran and answered were cut; runs="
            + replica.runs.get());
    }

    private static void read(int port, long delay, Outcome outcome) {
        try (Socket socket = new Socket()) {
            socket.setReceiveBufferSize(RECEIVE_BUFFER);
            socket.connect(new InetSocketAddress(Kit.LOOPBACK, port), 1_000);
            Kit.sleep(delay);
            String id = Kit.newId();
            socket.getOutputStream().write(Kit.request("POST", "/order/1", id, 15_000, 600));
            outcome.sentAt = Kit.now();
            Kit.log("client sends " + id);
            InputStream in = socket.getInputStream();
            Kit.Message head = Kit.readHead(in);
            if (head == null) {
                outcome.end = "closed before an answer";
                return;
            }
            outcome.end = head.first;
            Kit.log("client begins to get " + head.first + " for " + id);
            outcome.expected = Integer.parseInt(head.header("content-length"));
            byte[] step = new byte[BYTES_PER_STEP];
            while (outcome.received < outcome.expected) {
                int bytes = in.readNBytes(step, 0, Math.min(step.length, outcome.expected - outcome.received));
                if (bytes == 0) {
                    outcome.end += ", closed early";
                    break;
                }
                outcome.received += bytes;
                Kit.sleep(10);
            }
        } catch (Exception broken) {
            outcome.end += ", " + broken.getMessage();
        } finally {
            outcome.endedAt = Kit.now();
        }
    }
}
