import java.io.File;
import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** The router as a process of its own, started with the command of the deploy file. */
final class Router {
    final String name;
    final String front;
    final String ready;
    private final Path folder;
    private final Path root;
    private Process process;

    /** Settings as DEPLOY.md shows them, with loopback addresses. */
    Router(String name, String zone, Path root, Path folder, Store store, Map<String, Object> bounds) throws IOException {
        this.name = name;
        this.root = root;
        this.folder = folder;
        String host = "127.0.0.1";
        front = host + ":" + Stand.freePort();
        ready = host + ":" + Stand.freePort();
        int peer = Stand.freePort();
        Map<String, Object> settings = Json.map(
            "nodeName", name, "role", "almondhaven-router", "machineClass", "front", "serves", List.of("front"),
            "ip", host, "zone", zone, "region", "west-wales", "zones", Map.of(zone, "west-wales"),
            "listen", Json.map("front", front, "ready", ready),
            "portRange", List.of((long) peer, (long) peer), "seeds", List.of(), "bootstrap", true,
            "limits", Json.map("cpuShare", 0.75, "cores", 1L, "memoryMb", 280L, "maxFds", 4100L, "linkMbps", 1000.0),
            "heartbeatMs", 1200L, "bounds", bounds,
            "platform", Json.map("address", store.address(), "form", "objects", "writesPerS", 400L, "readsPerS", 2000L,
                "historyS", 20L, "valueBytes", 1048576L, "minTtlMs", 1000L));
        Files.writeString(settingsFile(), Json.write(settings));
    }

    static Map<String, Object> bounds() {
        return Json.map("seedLagS", 3L, "addrReuseS", 2L, "contactMs", 3000L, "ackMs", 4000L, "catchUpS", 4L, "drainMs", 2000L,
            "graceS", 8L, "lossSlackMs", 200L, "configApplyMs", 2000L, "rollbackSlackMs", 250L, "maxStretchMs", 5000L,
            "revokeStrict", true, "revokeMs", 5000L, "retryBudgetRatio", 0.9, "budgetWindowS", 10L, "retryBudgetSlack", 56L,
            "exposureShare", 0.15, "exposureSlack", 30L, "rollbackMs", 5000L, "coldOvershoot", 1.5, "coldSlack", 5L,
            "evacuateMs", 5000L, "recoveryS", 12L, "passMs", 120L, "reuseWindowS", 9.7, "sessionS", 5L);
    }

    private Path settingsFile() {
        return folder.resolve(name + ".json");
    }

    Path log() {
        return folder.resolve(name + ".log");
    }

    void start() throws IOException {
        String run = null;
        for (String line : Files.readAllLines(root.resolve("deploy/system.toml"))) {
            if (line.startsWith("run = \"")) run = line.substring(7, line.lastIndexOf('"'));
        }
        List<String> command = new ArrayList<>(List.of(run.replace("{{listen.front}}", front).split(" ")));
        ProcessBuilder builder = new ProcessBuilder(command).directory(root.toFile());
        builder.environment().put("ALMONDHAVEN_NODE_FILE", settingsFile().toString());
        File log = log().toFile();
        builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log));
        process = builder.start();
        Stand.onExit(process);
    }

    long pid() {
        return process.pid();
    }

    boolean isAlive() {
        return process.isAlive();
    }

    int exitCode() {
        return process.exitValue();
    }

    void signal(String signal) throws Exception {
        new ProcessBuilder("kill", "-" + signal, "" + process.pid()).inheritIO().start().waitFor();
    }

    boolean awaitExit(long millis) throws InterruptedException {
        return process.waitFor(millis, TimeUnit.MILLISECONDS);
    }

    /** The status of GET /ready; 0 without an answer within a second. */
    int readiness() {
        try {
            HttpURLConnection connection = (HttpURLConnection) URI.create("http://" + ready + "/ready").toURL().openConnection();
            connection.setConnectTimeout(1000);
            connection.setReadTimeout(1000);
            return connection.getResponseCode();
        } catch (IOException failure) {
            return 0;
        }
    }

    boolean awaitReady(long millis) throws InterruptedException {
        long end = System.nanoTime() + millis * 1_000_000;
        while (System.nanoTime() < end) {
            if (readiness() == 200) return true;
            Thread.sleep(100);
        }
        return false;
    }
}
