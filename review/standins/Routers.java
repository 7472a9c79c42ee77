import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** Starts the routers as the deploy file says, each as a process of its own with a settings file of its own. */
final class Routers implements AutoCloseable {
    /** One router: its process, its callers' port and the port of its readiness check. */
    static final class Router {
        final String name;
        final int front = Http.freePort();
        final int ready = Http.freePort();
        private final Path settings;
        private final Path log;
        Process process;

        private Router(String name, Path folder, Map<String, Object> common) throws IOException {
            this.name = name;
            settings = folder.resolve(name + ".json");
            log = folder.resolve(name + ".log");
            int peers = Http.freePort();
            Map<String, Object> fields = Json.object("nodeName", name, "role", "almondhaven-router", "machineClass", "front",
                "serves", List.of("front"), "ip", "127.0.0.1", "zone", "lj", "region", "slo",
                "zones", Map.of("lj", "slo", "mb", "slo"),
                "listen", Map.of("front", "127.0.0.1:" + front, "ready", "127.0.0.1:" + ready),
                "portRange", List.of(peers, peers), "seeds", List.of(), "bootstrap", true,
                "limits", Json.object("cpuShare", 0.57, "cores", 2, "memoryMb", 560, "maxFds", 6150, "linkMbps", 1500.0, "diskMb", 0));
            fields.putAll(common);
            Files.writeString(settings, Json.write(fields));
        }

        void start() throws IOException {
            String command = runLine().replace("{{listen.front}}", "127.0.0.1:" + front);
            ProcessBuilder builder = new ProcessBuilder(command.split(" "));
            builder.environment().put("ALMONDHAVEN_NODE_FILE", settings.toString());
            builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
            process = builder.start();
        }

        boolean isReady() {
            try (Client client = new Client(ready)) {
                return client.call("GET", "/ready", Map.of(), new byte[0], 1_000).status() == 200;
            } catch (IOException notYet) {
                return false;
            }
        }

        String log() throws IOException {
            return Files.readString(log);
        }
    }

    final List<Router> all = new ArrayList<>();

    /** Bounds of the deployment zmaj-router. */
    private static final String BOUNDS = """
        {"seedLagS": 3, "addrReuseS": 2, "contactMs": 3000, "ackMs": 4000, "catchUpS": 4, "drainMs": 2000, "graceS": 8,
        "lossSlackMs": 200, "configApplyMs": 2000, "rollbackSlackMs": 250, "maxStretchMs": 5000, "revokeStrict": true,
        "revokeMs": 5000, "retryBudgetRatio": 0.9, "budgetWindowS": 10, "retryBudgetSlack": 58, "exposureShare": 0.15,
        "exposureSlack": 30, "rollbackMs": 5000, "coldOvershoot": 1.5, "coldSlack": 5, "evacuateMs": 5000, "recoveryS": 12,
        "passMs": 120, "reuseWindowS": 10, "sessionS": 5}""";

    Routers(int count, Store store, Path folder) throws IOException {
        Map<String, Object> platform = Json.object("address", store.address(), "form", "objects", "writesPerS", 400,
            "readsPerS", 2000, "historyS", 20, "valueBytes", 1_048_576, "minTtlMs", 1000);
        Map<String, Object> common = Json.object("dataDir", null, "discovery", "platform", "entry", "vip", "heartbeatMs", 1200,
            "bounds", Json.parse(BOUNDS), "platform", platform);
        for (int i = 1; i <= count; i++) all.add(new Router("front-lj-" + i, folder, common));
        Runtime.getRuntime().addShutdownHook(new Thread(this::kill));
        for (Router router : all) router.start();
    }

    /** The words of the deploy file's run line. */
    private static String runLine() throws IOException {
        for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
            if (line.startsWith("run = ")) return line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
        }
        throw new IOException("deploy/system.toml has no run line");
    }

    /** Waits until all routers say that they are ready. */
    void awaitReady() throws IOException, InterruptedException {
        for (Router router : all) {
            for (int i = 0; !router.isReady(); i++) {
                if (i > 200 || !router.process.isAlive()) throw new IOException(router.name + " does not start: " + router.log());
                Thread.sleep(100);
            }
        }
    }

    private void kill() {
        for (Router router : all) {
            if (router.process != null) router.process.destroyForcibly();
        }
    }

    @Override
    public void close() {
        kill();
        try {
            for (Router router : all) router.process.waitFor(5, TimeUnit.SECONDS);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }
}
