import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The platform's store as PROTOCOL.md describes it: objects by kind and name, conditions, lists and watches. */
final class Store {
    private record Event(long revision, String kind, boolean removed, Map<String, Object> object) {
    }

    private final ServerSocket server;
    private final Map<String, TreeMap<String, Map<String, Object>>> kinds = new HashMap<>();
    private final List<Event> history = new ArrayList<>();
    private long revision = 100;

    Store(String host) throws IOException {
        server = new ServerSocket(0, 200, InetAddress.getByName(host));
        Stand.daemon(() -> {
            while (true) {
                Socket socket = server.accept();
                Stand.daemon(() -> serve(socket));
            }
        });
    }

    String address() {
        return Stand.address(server);
    }

    /** Writes an object as the operator or a replica does; returns the revision. */
    synchronized long put(String kind, String name, Object spec) {
        Map<String, Object> old = objects(kind).get(name);
        Map<String, Object> object = new LinkedHashMap<>();
        Map<String, Object> metadata = old == null ? newMetadata(name) : new LinkedHashMap<>(metadata(old));
        object.put("metadata", metadata);
        object.put("spec", spec);
        object.put("status", old == null ? null : old.get("status"));
        return change(kind, name, object);
    }

    synchronized void remove(String kind, String name) {
        Map<String, Object> old = objects(kind).remove(name);
        if (old == null) return;
        revision++;
        Map<String, Object> object = copyOf(old);
        metadata(object).put("revision", revision);
        history.add(new Event(revision, kind, true, object));
        notifyAll();
    }

    synchronized int count(String kind) {
        return objects(kind).size();
    }

    private TreeMap<String, Map<String, Object>> objects(String kind) {
        return kinds.computeIfAbsent(kind, k -> new TreeMap<>());
    }

    private Map<String, Object> newMetadata(String name) {
        return Json.map("name", name, "revision", 0L, "created", revision + 1, "finalizers", List.of(), "deleting", false);
    }

    @SuppressWarnings("unchecked")
    private static Map<String, Object> metadata(Map<String, Object> object) {
        return (Map<String, Object>) object.get("metadata");
    }

    private static Map<String, Object> copyOf(Map<String, Object> object) {
        Map<String, Object> copy = new LinkedHashMap<>(object);
        copy.put("metadata", new LinkedHashMap<>(metadata(object)));
        return copy;
    }

    private long change(String kind, String name, Map<String, Object> object) {
        revision++;
        metadata(object).put("revision", revision);
        objects(kind).put(name, object);
        history.add(new Event(revision, kind, false, object));
        notifyAll();
        return revision;
    }

    private void serve(Socket socket) throws Exception {
        InputStream in = Http.buffered(socket.getInputStream());
        OutputStream out = socket.getOutputStream();
        while (true) {
            Http.Message request = Http.readHead(in);
            if (request == null) return;
            Http.readBody(in, request);
            Object[] answer = answer(request);
            byte[] body = Json.write(answer[1]).getBytes(StandardCharsets.UTF_8);
            String head = "HTTP/1.1 " + answer[0] + " X\r\nContent-Type: application/json\r\nContent-Length: " + body.length
                + "\r\n\r\n";
            out.write(head.getBytes(StandardCharsets.ISO_8859_1));
            out.write(body);
            out.flush();
        }
    }

    @SuppressWarnings("unchecked")
    private synchronized Object[] answer(Http.Message request) throws InterruptedException {
        String target = request.target();
        String path = target.split("\\?")[0];
        Map<String, String> query = new HashMap<>();
        if (target.contains("?")) {
            for (String pair : target.substring(target.indexOf('?') + 1).split("&")) {
                query.put(pair.split("=")[0], pair.substring(pair.indexOf('=') + 1));
            }
        }
        String[] parts = path.split("/");
        String kind = parts[2];
        if (parts.length == 3 && request.method().equals("GET")) {
            if (!query.containsKey("watch")) {
                return new Object[] {200, Json.map("items", new ArrayList<>(objects(kind).values()), "truncated", false,
                    "currentRev", revision)};
            }
            return watch(kind, Long.parseLong(query.get("watch")), Long.parseLong(query.getOrDefault("waitMs", "0")));
        }
        Map<String, Object> sent = request.body.length == 0 ? null
            : (Map<String, Object>) Json.parse(new String(request.body, StandardCharsets.UTF_8));
        String name = parts.length > 3 ? parts[3] : (String) metadata(sent).get("name");
        Map<String, Object> old = objects(kind).get(name);
        if (request.method().equals("GET")) return old == null ? new Object[] {404, Map.of()} : new Object[] {200, old};
        if (request.method().equals("POST")) {
            if (old != null) return new Object[] {409, old};
            Map<String, Object> object = new LinkedHashMap<>();
            object.put("metadata", newMetadata(name));
            object.put("spec", sent.get("spec"));
            object.put("status", null);
            change(kind, name, object);
            return new Object[] {200, object};
        }
        if (old == null) return new Object[] {404, Map.of()};
        if (request.method().equals("DELETE")) {
            remove(kind, name);
            return new Object[] {200, Map.of()};
        }
        Object condition = metadata(sent).get("revision");
        if (condition != null && !condition.equals(metadata(old).get("revision"))) return new Object[] {409, old};
        Map<String, Object> object = copyOf(old);
        if (parts.length > 4) object.put("status", sent.get("status"));
        else object.put("spec", sent.get("spec"));
        change(kind, name, object);
        return new Object[] {200, object};
    }

    private Object[] watch(String kind, long since, long waitMillis) throws InterruptedException {
        long end = System.nanoTime() + waitMillis * 1_000_000;
        while (true) {
            List<Object> events = new ArrayList<>();
            for (Event event : history) {
                if (event.revision > since && event.kind.equals(kind)) {
                    events.add(Json.map("removed", event.removed, "object", event.object));
                }
            }
            long left = (end - System.nanoTime()) / 1_000_000;
            if (!events.isEmpty() || left <= 0) {
                return new Object[] {200, Json.map("events", events, "currentRev", revision)};
            }
            wait(left);
        }
    }
}
