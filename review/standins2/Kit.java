import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BiConsumer;

/** Stand-ins of the review's scripts: the platform's store, replicas, clients, and the router as a process. */
final class Kit {
    static final long START = System.nanoTime();
    static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();
    private static final int FIRST_PORT = 20_000;
    private static final int LAST_PORT = 32_000;

    private Kit() {}

    /** Milliseconds since the start of the script. */
    static double now() {
        return (System.nanoTime() - START) / 1e6;
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException interrupted) {
            throw new IllegalStateException(interrupted);
        }
    }

    static Thread spawn(Runnable work) {
        Thread thread = new Thread(null, work, "stand-in", 256 * 1024);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    static boolean trouble() {
        return !"0".equals(System.getenv("TROUBLE"));
    }

    /**
     * A port that is free now on the loopback address. It lies below the range from which the kernel takes the ports of
     * clients, so that it stays free while a router is down.
     */
    static int freePort() throws IOException {
        while (true) {
            int port = ThreadLocalRandom.current().nextInt(FIRST_PORT, LAST_PORT);
            try (ServerSocket socket = new ServerSocket(port, 1, LOOPBACK);
                DatagramSocket datagrams = new DatagramSocket(port, LOOPBACK)) {
                return socket.getLocalPort();
            } catch (IOException taken) {
                // Try another one.
            }
        }
    }

    // ---- record --------------------------------------------------------------------------------------------------

    private static PrintWriter record;

    /** Opens the record. From now on an error of the script itself ends it with 2, and no router outlives it. */
    static void openRecord(Path file) throws IOException {
        record = new PrintWriter(Files.newBufferedWriter(file));
        Runtime.getRuntime().addShutdownHook(new Thread(Kit::end));
        Thread.currentThread().setUncaughtExceptionHandler((thread, failure) -> cannotRun("" + failure));
    }

    private static boolean isOver = false;

    static synchronized void log(String text) {
        if (isOver) return;
        record.printf(Locale.ROOT, "%9.1f ms  %s%n", now(), text);
    }

    static void finish(boolean broken, String verdict) {
        log((broken ? "BROKEN: " : "HELD: ") + verdict);
        System.out.println((broken ? "BROKEN: " : "HELD: ") + verdict);
        end();
        System.exit(broken ? 1 : 0);
    }

    static void cannotRun(String reason) {
        log("COULD NOT RUN: " + reason);
        System.out.println("COULD NOT RUN: " + reason);
        end();
        System.exit(2);
    }

    private static synchronized void end() {
        isOver = true;
        record.flush();
        stopRouters();
    }

    // ---- HTTP ----------------------------------------------------------------------------------------------------

    /** A request or response: its first line, its headers (names in lower case) and its body. */
    static final class Message {
        String first;
        final Map<String, String> headers = new HashMap<>();
        byte[] body = new byte[0];

        String header(String name) {
            return headers.get(name.toLowerCase(Locale.ROOT));
        }
    }

    private static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int next = in.read(); next >= 0; next = in.read()) {
            if (next == '\n') {
                String text = line.toString(StandardCharsets.ISO_8859_1);
                return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
            }
            line.write(next);
        }
        return null;
    }

    /** Reads the head of a message, or returns null at the end of the connection. */
    static Message readHead(InputStream in) throws IOException {
        Message message = new Message();
        message.first = readLine(in);
        if (message.first == null) return null;
        for (String line = readLine(in); line != null; line = readLine(in)) {
            if (line.isEmpty()) return message;
            int colon = line.indexOf(':');
            message.headers.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
        }
        return null;
    }

    static Message readMessage(InputStream in) throws IOException {
        Message message = readHead(in);
        if (message == null) return null;
        String length = message.header("content-length");
        if (length != null) {
            message.body = in.readNBytes(Integer.parseInt(length));
            if (message.body.length < Integer.parseInt(length)) return null;
        } else if ("chunked".equalsIgnoreCase(message.header("transfer-encoding"))) {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            while (true) {
                String size = readLine(in);
                if (size == null) return null;
                int bytes = Integer.parseInt(size.trim(), 16);
                byte[] chunk = in.readNBytes(bytes);
                if (chunk.length < bytes || readLine(in) == null) return null;
                if (bytes == 0) break;
                body.write(chunk);
            }
            message.body = body.toByteArray();
        }
        return message;
    }

    static void writeResponse(OutputStream out, int status, String headers, byte[] body) throws IOException {
        String head = "HTTP/1.1 " + status + " S\r\n" + headers + "Content-Length: " + body.length + "\r\n\r\n";
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        all.write(head.getBytes(StandardCharsets.ISO_8859_1));
        all.write(body);
        out.write(all.toByteArray());
        out.flush();
    }

    interface Handler {
        void handle(Message request, OutputStream out) throws IOException;
    }

    /** A server on a free port of the loopback address, with a thread for each connection. */
    static final class Server {
        final int port;
        private final ServerSocket listener;
        private final Handler handler;
        private final Set<Socket> connections = ConcurrentHashMap.newKeySet();

        Server(Handler handler) throws IOException {
            this.handler = handler;
            listener = new ServerSocket();
            listener.bind(new InetSocketAddress(LOOPBACK, 0), 512);
            port = listener.getLocalPort();
            spawn(this::accept);
        }

        private void accept() {
            while (true) {
                try {
                    Socket socket = listener.accept();
                    socket.setTcpNoDelay(true);
                    connections.add(socket);
                    spawn(() -> serve(socket));
                } catch (IOException closed) {
                    return;
                }
            }
        }

        private void serve(Socket socket) {
            try (socket) {
                InputStream in = new BufferedInputStream(socket.getInputStream(), 65_536);
                OutputStream out = socket.getOutputStream();
                for (Message request = readMessage(in); request != null; request = readMessage(in)) {
                    handler.handle(request, out);
                }
            } catch (IOException | RuntimeException gone) {
                // The peer has closed the connection.
            } finally {
                connections.remove(socket);
            }
        }

        /** Closes the port and all connections, as the end of the process does. */
        void exit() {
            try {
                listener.close();
                for (Socket socket : connections) socket.close();
            } catch (IOException ignored) {
                // Already closed.
            }
        }
    }

    // ---- JSON ----------------------------------------------------------------------------------------------------

    /** A reader of JSON: objects become maps, lists become lists, numbers become doubles. */
    static final class Json {
        private final String text;
        private int at = 0;

        private Json(String text) {
            this.text = text;
        }

        static Object parse(String text) {
            return new Json(text).value();
        }

        private void space() {
            while (at < text.length() && Character.isWhitespace(text.charAt(at))) at++;
        }

        private Object value() {
            space();
            char next = text.charAt(at);
            if (next == '{') {
                Map<String, Object> map = new TreeMap<>();
                at++;
                for (space(); text.charAt(at) != '}'; space()) {
                    if (text.charAt(at) == ',') at++;
                    space();
                    String key = string();
                    space();
                    at++;
                    map.put(key, value());
                }
                at++;
                return map;
            }
            if (next == '[') {
                List<Object> list = new ArrayList<>();
                at++;
                for (space(); text.charAt(at) != ']'; space()) {
                    if (text.charAt(at) == ',') at++;
                    list.add(value());
                }
                at++;
                return list;
            }
            if (next == '"') return string();
            int from = at;
            while (at < text.length() && ",]} \n\r\t".indexOf(text.charAt(at)) < 0) at++;
            String word = text.substring(from, at);
            return switch (word) {
                case "true" -> Boolean.TRUE;
                case "false" -> Boolean.FALSE;
                case "null" -> null;
                default -> Double.valueOf(word);
            };
        }

        private String string() {
            StringBuilder result = new StringBuilder();
            for (at++; text.charAt(at) != '"'; at++) {
                char next = text.charAt(at);
                if (next == '\\') {
                    next = text.charAt(++at);
                    if (next == 'u') {
                        next = (char) Integer.parseInt(text.substring(at + 1, at + 5), 16);
                        at += 4;
                    } else if (next == 'n') {
                        next = '\n';
                    }
                }
                result.append(next);
            }
            at++;
            return result.toString();
        }

        static String write(Object value) {
            if (value instanceof Map<?, ?> map) {
                StringBuilder result = new StringBuilder("{");
                map.forEach((key, entry) -> {
                    if (result.length() > 1) result.append(',');
                    result.append(write(key)).append(':').append(write(entry));
                });
                return result.append('}').toString();
            }
            if (value instanceof List<?> list) {
                StringBuilder result = new StringBuilder("[");
                list.forEach(entry -> {
                    if (result.length() > 1) result.append(',');
                    result.append(write(entry));
                });
                return result.append(']').toString();
            }
            if (value instanceof String string) {
                return '"' + string.replace("\\", "\\\\").replace("\"", "\\\"").replace("\n", "\\n") + '"';
            }
            if (value instanceof Double number && number == Math.rint(number)) return Long.toString(number.longValue());
            return String.valueOf(value);
        }
    }

    // ---- the platform's store ------------------------------------------------------------------------------------

    /** The platform's store as PROTOCOL.md describes it: sound, linearizable, {@link #answerMillis} an answer. */
    static final class Store {
        private static final class Entry {
            String name;
            long revision;
            long created;
            String spec;
            String status = "null";

            String json() {
                return "{\"metadata\":{\"name\":" + Json.write(name) + ",\"revision\":" + revision + ",\"created\":"
                    + created + ",\"finalizers\":[],\"deleting\":false},\"spec\":" + spec + ",\"status\":" + status
                    + "}";
            }
        }

        private record Event(String kind, long revision, boolean removed, String json) {}

        private final Map<String, TreeMap<String, Entry>> kinds = new HashMap<>();
        private final List<Event> events = new ArrayList<>();
        private long revision = 100;
        final int port;

        /** Objects of one answer to a list: "about 500" in PROTOCOL.md. */
        int pageSize = 500;
        long answerMillis = 4;

        /** Called with the path and query of each call when it arrives, and when its answer is on its way. */
        volatile BiConsumer<String, Boolean> observer = (path, answered) -> {};

        Store() throws IOException {
            port = new Server(this::handle).port;
        }

        /** Creates or replaces the spec of an object, as the operator or a replica does. Returns the revision. */
        synchronized long put(String kind, String name, String spec) {
            Entry entry = kinds.computeIfAbsent(kind, key -> new TreeMap<>()).computeIfAbsent(name, key -> new Entry());
            if (spec.equals(entry.spec)) return revision;
            entry.name = name;
            entry.spec = spec;
            entry.revision = ++revision;
            if (entry.created == 0) entry.created = revision;
            publish(kind, entry, false);
            return revision;
        }

        synchronized void remove(String kind, String name) {
            Entry entry = kinds.getOrDefault(kind, new TreeMap<>()).remove(name);
            if (entry == null) return;
            entry.revision = ++revision;
            publish(kind, entry, true);
        }

        private void publish(String kind, Entry entry, boolean removed) {
            events.add(new Event(kind, revision, removed, entry.json()));
            notifyAll();
        }

        private void handle(Message request, OutputStream out) throws IOException {
            String[] words = request.first.split(" ");
            observer.accept(words[0] + " " + words[1], false);
            sleep(answerMillis);
            String path = words[1].contains("?") ? words[1].substring(0, words[1].indexOf('?')) : words[1];
            Map<String, String> query = new HashMap<>();
            if (words[1].contains("?")) {
                for (String pair : words[1].substring(words[1].indexOf('?') + 1).split("&")) {
                    int sign = pair.indexOf('=');
                    query.put(pair.substring(0, sign), pair.substring(sign + 1));
                }
            }
            String[] parts = path.substring("/objects/".length()).split("/");
            String name = parts.length > 1 ? java.net.URLDecoder.decode(parts[1], StandardCharsets.UTF_8) : null;
            String body = new String(request.body, StandardCharsets.UTF_8);
            String[] answer = answer(words[0], parts[0], name, parts.length > 2, query, body);
            observer.accept(words[0] + " " + words[1], true);
            writeResponse(
                out,
                Integer.parseInt(answer[0]),
                "Content-Type: application/json\r\n",
                answer[1].getBytes(StandardCharsets.UTF_8));
        }

        @SuppressWarnings("unchecked")
        private synchronized String[] answer(
            String method, String kind, String name, boolean isStatus, Map<String, String> query, String body) {
            TreeMap<String, Entry> objects = kinds.computeIfAbsent(kind, key -> new TreeMap<>());
            if (method.equals("GET") && query.containsKey("watch")) return watch(kind, query);
            if (method.equals("GET") && name == null) {
                String after = java.net.URLDecoder.decode(query.getOrDefault("after", ""), StandardCharsets.UTF_8);
                List<String> items = new ArrayList<>();
                boolean truncated = false;
                for (Entry entry : objects.tailMap(after, false).values()) {
                    if (items.size() == pageSize) {
                        truncated = true;
                        break;
                    }
                    items.add(entry.json());
                }
                return new String[] {
                    "200",
                    "{\"items\":[" + String.join(",", items) + "],\"truncated\":" + truncated + ",\"currentRev\":"
                        + revision + "}"
                };
            }
            if (method.equals("POST")) {
                Map<String, Object> object = (Map<String, Object>) Json.parse(body);
                String given = (String) ((Map<String, Object>) object.get("metadata")).get("name");
                if (objects.containsKey(given)) return new String[] {"409", objects.get(given).json()};
                put(kind, given, Json.write(object.get("spec")));
                return new String[] {"200", objects.get(given).json()};
            }
            Entry entry = objects.get(name);
            if (entry == null) return new String[] {"404", "{}"};
            if (method.equals("GET")) return new String[] {"200", entry.json()};
            Object stated = query.get("revision");
            Map<String, Object> object = body.isEmpty() ? Map.of() : (Map<String, Object>) Json.parse(body);
            if (object.get("metadata") instanceof Map<?, ?> metadata && metadata.get("revision") != null) {
                stated = Json.write(metadata.get("revision"));
            }
            if (stated != null && Long.parseLong(stated.toString()) != entry.revision) {
                return new String[] {"409", entry.json()};
            }
            if (method.equals("DELETE")) {
                remove(kind, name);
                return new String[] {"200", entry.json()};
            }
            String before = isStatus ? entry.status : entry.spec;
            String next = Json.write(object.get(isStatus ? "status" : "spec"));
            if (!next.equals(before)) {
                if (isStatus) entry.status = next;
                else entry.spec = next;
                entry.revision = ++revision;
                publish(kind, entry, false);
            }
            return new String[] {"200", entry.json()};
        }

        private String[] watch(String kind, Map<String, String> query) {
            long since = Long.parseLong(query.get("watch"));
            long end = System.nanoTime() + Long.parseLong(query.getOrDefault("waitMs", "0")) * 1_000_000;
            while (true) {
                List<String> found = new ArrayList<>();
                for (Event event : events) {
                    if (event.revision > since && event.kind.equals(kind)) {
                        found.add("{\"removed\":" + event.removed + ",\"object\":" + event.json + "}");
                    }
                }
                long left = (end - System.nanoTime()) / 1_000_000;
                if (!found.isEmpty() || left <= 0) {
                    return new String[] {
                        "200", "{\"events\":[" + String.join(",", found) + "],\"currentRev\":" + revision + "}"
                    };
                }
                try {
                    wait(left);
                } catch (InterruptedException interrupted) {
                    throw new IllegalStateException(interrupted);
                }
            }
        }
    }

    static String serverSpec(String service, int port, String zone, String state, int slots, long coldLeftMs) {
        return "{\"service\":\"" + service + "\",\"address\":\"127.0.0.1:" + port + "\",\"zone\":\"" + zone
            + "\",\"version\":\"v1\",\"slots\":" + slots + ",\"state\":\"" + state + "\",\"coldLeftMs\":" + coldLeftMs
            + ",\"seqNo\":1}";
    }

    static String plainRoute(String name, String prefix, String kind, String service, int timeoutMs, int attempts) {
        return "{\"name\":\"" + name + "\",\"hostname\":\"desk.example\",\"pathPrefix\":\"" + prefix + "\",\"kind\":\""
            + kind + "\",\"timeoutMs\":" + timeoutMs + ",\"targetLatencyMs\":150,\"priority\":2,\"service\":\""
            + service + "\",\"maxAttempts\":" + attempts + ",\"public\":false,\"sticky\":false,\"resumable\":false}";
    }

    static String configuration(String routes, double coldPerS) {
        return "{\"version\":7,\"routes\":[" + routes + "],\"services\":[{\"name\":\"order-desk\",\"healthPath\":"
            + "\"/health\",\"maxConns\":370,\"protocol\":\"h1\",\"tls\":false,\"coldStartS\":3.0,\"coldPerS\":"
            + coldPerS + "}],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,"
            + "\"idleTimeoutMs\":15000},\"tenants\":[{\"name\":\"quarry\",\"apiKeys\":[\"key-1\"],\"priority\":1}]}";
    }

    // ---- replicas ------------------------------------------------------------------------------------------------

    /** A sound replica of a plain service: runs each request that names it, and answers after {@link #workMillis}. */
    static class Replica {
        final String id;
        final int port;
        private final Server server;
        final AtomicInteger runs = new AtomicInteger();
        final AtomicInteger running = new AtomicInteger();
        volatile long workMillis = 20;
        volatile byte[] answer = "ok".getBytes(StandardCharsets.US_ASCII);

        Replica(String id) throws IOException {
            this.id = id;
            server = new Server(this::handle);
            port = server.port;
        }

        /** Ends as a process does: its port and all connections close, and what it works on is lost. */
        void exit() {
            server.exit();
        }

        /** Called when the replica begins to work on a request. */
        void onRun(Message request) {}

        private void handle(Message request, OutputStream out) throws IOException {
            String identity = "X-Almondhaven-Replica-Id: " + id + "\r\n";
            if (request.first.startsWith("GET /health ")) {
                writeResponse(out, 200, identity, new byte[0]);
                return;
            }
            String expected = request.header("X-Almondhaven-Expect-Replica");
            if (expected != null && !expected.equals(id)) {
                writeResponse(out, 421, identity + "X-Almondhaven-Not-Executed: 1\r\n", new byte[0]);
                return;
            }
            String attempt = request.header("X-Almondhaven-Attempt-Id");
            runs.incrementAndGet();
            running.incrementAndGet();
            log("replica " + id + " runs " + attempt);
            onRun(request);
            sleep(workMillis);
            int left = running.decrementAndGet();
            log("replica " + id + " answers 200 to " + attempt);
            writeResponse(
                out,
                200,
                "X-Almondhaven-Attempt-Id: " + attempt + "\r\nX-Almondhaven-Response-Seal: seal-" + attempt
                    + "\r\nX-Almondhaven-Replica-Load: " + left + ",0,64\r\nKeep-Alive: timeout=20\r\n",
                answer);
        }
    }

    // ---- routers -------------------------------------------------------------------------------------------------

    private static final List<Process> ROUTERS = new ArrayList<>();

    /** A router as the deploy file runs it. */
    static final class Router {
        final String name;
        final String zone;
        final int front;
        final int ready;
        private final Path settings;
        private final String text;
        private final Path output;
        Process process;

        Router(Path folder, String name, String zone, Store store) throws IOException {
            this.name = name;
            this.zone = zone;
            front = freePort();
            ready = freePort();
            int peers = freePort();
            settings = folder.resolve(name + ".json");
            output = folder.resolve(name + ".log");
            text = "{\"nodeName\":\"" + name + "\",\"role\":\"almondhaven-router\",\"machineClass\":\"front\","
                    + "\"serves\":[\"front\"],\"ip\":\"127.0.0.1\",\"zone\":\"" + zone + "\",\"region\":\"west-wales\","
                    + "\"listen\":{\"front\":\"127.0.0.1:" + front + "\",\"ready\":\"127.0.0.1:" + ready + "\"},"
                    + "\"portRange\":[" + peers + "," + peers + "],\"seeds\":[],\"dataDir\":null,"
                    + "\"discovery\":\"platform\",\"entry\":\"vip\",\"bootstrap\":true,"
                    + "\"limits\":{\"cpuShare\":0.75,\"cores\":1,\"memoryMb\":280,\"maxFds\":4100,\"linkMbps\":1000.0},"
                    + "\"heartbeatMs\":1200,\"bounds\":{\"seedLagS\":3,\"addrReuseS\":2,\"contactMs\":3000,"
                    + "\"ackMs\":4000,\"catchUpS\":4,\"drainMs\":2000,\"graceS\":8,\"lossSlackMs\":200,"
                    + "\"configApplyMs\":2000,\"rollbackSlackMs\":250,\"maxStretchMs\":5000,\"revokeStrict\":true,"
                    + "\"revokeMs\":5000,\"retryBudgetRatio\":0.9,\"budgetWindowS\":10,\"retryBudgetSlack\":56,"
                    + "\"exposureShare\":0.15,\"exposureSlack\":30,\"rollbackMs\":5000,\"coldOvershoot\":1.5,"
                    + "\"coldSlack\":5,\"evacuateMs\":5000,\"recoveryS\":12,\"passMs\":120,\"reuseWindowS\":9.7,"
                    + "\"sessionS\":5},\"platform\":{\"address\":\"127.0.0.1:" + store.port + "\",\"form\":\"objects\","
                    + "\"writesPerS\":400,\"readsPerS\":2000,\"historyS\":20,\"valueBytes\":1048576,"
                    + "\"minTtlMs\":1000}}";
        }

        /** Starts the process with the `run` line of the deploy file, in the repository's root. */
        Router start() throws IOException {
            boolean isFirst = process == null;
            Files.writeString(settings, isFirst ? text : text.replace("\"bootstrap\":true", "\"bootstrap\":false"));
            List<String> words = new ArrayList<>();
            for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
                if (!line.startsWith("run = ")) continue;
                String run = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
                words.addAll(List.of(run.replace("{{listen.front}}", "127.0.0.1:" + front).split(" ")));
            }
            ProcessBuilder builder = new ProcessBuilder(words).redirectErrorStream(true);
            builder.redirectOutput(ProcessBuilder.Redirect.appendTo(output.toFile()));
            builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
            builder.environment().put("ALMONDHAVEN_NODE_FILE", settings.toString());
            process = builder.start();
            synchronized (ROUTERS) {
                ROUTERS.add(process);
            }
            log("router " + name + " started, process " + process.pid());
            return this;
        }

        boolean isReady() {
            try (Socket socket = new Socket(LOOPBACK, ready)) {
                socket.setSoTimeout(1_000);
                socket.getOutputStream().write("GET /ready HTTP/1.1\r\nHost: r\r\n\r\n".getBytes());
                Message answer = readMessage(new BufferedInputStream(socket.getInputStream()));
                return answer != null && answer.first.contains(" 200 ");
            } catch (IOException notYet) {
                return false;
            }
        }

        void awaitReady() {
            for (int tries = 0; tries < 400; tries++) {
                if (isReady()) {
                    log("router " + name + " is ready");
                    return;
                }
                if (!process.isAlive()) cannotRun("router " + name + " ended with " + process.exitValue());
                sleep(50);
            }
            cannotRun("router " + name + " is not ready after 20 s");
        }

        /** Sends a signal by the process id. */
        void signal(String signal) throws IOException {
            log("SIG" + signal + " to router " + name);
            new ProcessBuilder("/bin/kill", "-" + signal, Long.toString(process.pid())).start();
        }
    }

    static void stopRouters() {
        synchronized (ROUTERS) {
            ROUTERS.forEach(Process::destroyForcibly);
            for (Process process : ROUTERS) {
                try {
                    process.waitFor(5, TimeUnit.SECONDS);
                } catch (InterruptedException interrupted) {
                    return;
                }
            }
        }
    }

    // ---- clients -------------------------------------------------------------------------------------------------

    private static final AtomicLong LAST_ID = new AtomicLong();

    static String newId() {
        return String.format("%016x", LAST_ID.incrementAndGet() * 0x9E3779B97F4A7C15L);
    }

    static byte[] request(String method, String path, String id, int deadlineMs, int bodyBytes) {
        String head = method + " " + path + " HTTP/1.1\r\nHost: desk.example\r\nX-Almondhaven-Attempt-Id: " + id
            + "\r\nX-Almondhaven-Deadline-Ms: " + deadlineMs + "\r\nApi-Key: key-1\r\n"
            + (method.equals("GET") ? "" : "Content-Length: " + bodyBytes + "\r\n") + "\r\n";
        byte[] bytes = head.getBytes(StandardCharsets.ISO_8859_1);
        return java.util.Arrays.copyOf(bytes, bytes.length + (method.equals("GET") ? 0 : bodyBytes));
    }

    /** A client's connection that is kept open for many requests. */
    static final class Client {
        final Socket socket;
        final InputStream in;
        final OutputStream out;

        Client(int port) throws IOException {
            socket = new Socket();
            socket.setTcpNoDelay(true);
            socket.connect(new InetSocketAddress(LOOPBACK, port), 1_000);
            in = new BufferedInputStream(socket.getInputStream());
            out = socket.getOutputStream();
        }

        /** Sends the request {@code id} and returns the answer; null if the connection ended without a whole one. */
        Message exchange(String id, byte[] request) {
            log("client sends " + id + " to port " + socket.getPort());
            Message answer = null;
            try {
                out.write(request);
                out.flush();
                answer = readMessage(in);
            } catch (IOException broken) {
                // The connection ended without a whole answer.
            }
            log("client gets " + (answer == null ? "a closed connection" : answer.first) + " for " + id);
            return answer;
        }

        void close() {
            try {
                socket.close();
            } catch (IOException ignored) {
                // Already closed.
            }
        }
    }
}
