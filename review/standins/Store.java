import java.io.IOException;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The platform's store, as PROTOCOL.md describes it: objects by kind and name, one revision counter, lists and watches. */
final class Store {
    private record Event(long revision, String kind, boolean removed, Map<String, Object> object) {}

    private final Map<String, TreeMap<String, Map<String, Object>>> kinds = new HashMap<>();
    private final List<Event> events = new ArrayList<>();
    private final int pageSize;
    private final long answerMillis;
    private final ServerSocket server;
    private long revision = 1;

    /** Watches that were sent before are cut off, as an answer shows that is null. */
    private long cuts;

    /** While it is silent, what is sent to the store is read and never answered. */
    private volatile boolean isSilent;

    /** When a watch of the configuration was last sent. */
    volatile long lastConfigurationWatchAt;

    Store(int pageSize, long answerMillis) throws IOException {
        this.pageSize = pageSize;
        this.answerMillis = answerMillis;
        server = Http.listen(this::serve);
    }

    String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    /** Is silent to all machines for a time. */
    void silence(long millis) throws InterruptedException {
        isSilent = true;
        Thread.sleep(millis);
        isSilent = false;
    }

    /** Cuts off all watches that are waiting: their connections end without an answer. */
    synchronized void cutWatches() {
        cuts++;
        notifyAll();
    }

    private void serve(Http.Connection connection) throws IOException, InterruptedException {
        for (Http.Message request = connection.read(); request != null; request = connection.read()) {
            if (request.target().startsWith("/objects/config?watch")) lastConfigurationWatchAt = System.nanoTime();
            if (isSilent) {
                connection.input.readAllBytes();
                return;
            }
            String[] answer = answer(request);
            if (answer == null) return;
            Thread.sleep(answerMillis);
            connection.write("HTTP/1.1 " + answer[0] + " X\r\nContent-Type: application/json\r\nContent-Length: "
                + answer[1].getBytes().length + "\r\n\r\n" + answer[1]);
        }
    }

    private String[] answer(Http.Message request) throws InterruptedException {
        String[] target = request.target().split("\\?", 2);
        String[] path = target[0].substring("/objects/".length()).split("/");
        Map<String, String> query = new HashMap<>();
        if (target.length == 2) {
            for (String pair : target[1].split("&")) query.put(pair.split("=")[0], pair.substring(pair.indexOf('=') + 1));
        }
        if (request.method().equals("GET") && path.length == 1) {
            if (query.containsKey("watch")) {
                return watch(path[0], Long.parseLong(query.get("watch")), Long.parseLong(query.getOrDefault("waitMs", "0")));
            }
            return list(path[0], query.get("after"));
        }
        return change(request, path, query);
    }

    private String[] list(String kind, String after) {
        String text;
        synchronized (this) {
            TreeMap<String, Map<String, Object>> all = kinds.getOrDefault(kind, new TreeMap<>());
            List<Object> items = new ArrayList<>();
            boolean truncated = false;
            for (Map.Entry<String, Map<String, Object>> entry : all.entrySet()) {
                if (after != null && entry.getKey().compareTo(after) <= 0) continue;
                truncated = items.size() == pageSize;
                if (truncated) break;
                items.add(entry.getValue());
            }
            text = Json.write(Json.object("items", items, "truncated", truncated, "currentRev", revision));
        }
        return new String[] {"200", text};
    }

    private synchronized String[] watch(String kind, long since, long waitMillis) throws InterruptedException {
        long end = System.currentTimeMillis() + waitMillis;
        long cutsBefore = cuts;
        while (true) {
            List<Object> found = new ArrayList<>();
            for (Event event : events) {
                if (event.revision > since && event.kind.equals(kind)) {
                    found.add(Json.object("removed", event.removed, "object", event.object));
                }
            }
            long left = end - System.currentTimeMillis();
            if (!found.isEmpty() || left <= 0) {
                return new String[] {"200", Json.write(Json.object("events", found, "currentRev", revision))};
            }
            wait(left);
            if (cuts != cutsBefore) return null;
        }
    }

    @SuppressWarnings("unchecked")
    private synchronized String[] change(Http.Message request, String[] path, Map<String, String> query) {
        Map<String, Object> sent = request.body.length == 0 ? Map.of() : Json.parseObject(new String(request.body));
        Map<String, Object> metadata = (Map<String, Object>) sent.getOrDefault("metadata", Map.of());
        String name = path.length > 1 ? path[1] : (String) metadata.get("name");
        Map<String, Object> held = kinds.getOrDefault(path[0], new TreeMap<>()).get(name);
        if (request.method().equals("GET")) return held == null ? new String[] {"404", "{}"} : ok(held);
        if (request.method().equals("POST")) {
            return held == null ? ok(put(path[0], name, sent.get("spec"), sent.get("status"))) : conflict(held);
        }
        if (held == null) return new String[] {"404", "{}"};
        Object expected = query.containsKey("revision") ? (Object) Long.valueOf(query.get("revision")) : metadata.get("revision");
        if (expected != null && !expected.equals(((Map<String, Object>) held.get("metadata")).get("revision"))) return conflict(held);
        if (request.method().equals("DELETE")) {
            remove(path[0], name);
            return ok(held);
        }
        if (path.length > 2) return ok(put(path[0], name, held.get("spec"), sent.get("status")));
        return ok(put(path[0], name, sent.get("spec"), held.get("status")));
    }

    private String[] ok(Map<String, Object> object) {
        return new String[] {"200", Json.write(object)};
    }

    private String[] conflict(Map<String, Object> object) {
        return new String[] {"409", Json.write(object)};
    }

    /** Writes an object; the return is the acknowledgement. */
    @SuppressWarnings("unchecked")
    synchronized Map<String, Object> put(String kind, String name, Object spec, Object status) {
        TreeMap<String, Map<String, Object>> all = kinds.computeIfAbsent(kind, none -> new TreeMap<>());
        Map<String, Object> held = all.get(name);
        revision++;
        long created = held == null ? revision : (Long) ((Map<String, Object>) held.get("metadata")).get("created");
        Map<String, Object> metadata =
            Json.object("name", name, "revision", revision, "created", created, "finalizers", List.of(), "deleting", false);
        Map<String, Object> object = Json.object("metadata", metadata, "spec", spec, "status", status);
        all.put(name, object);
        events.add(new Event(revision, kind, false, object));
        notifyAll();
        return object;
    }

    /** The state in the status of an object; null if it has none. */
    @SuppressWarnings("unchecked")
    synchronized String status(String kind, String name) {
        Map<String, Object> status = (Map<String, Object>) kinds.get(kind).get(name).get("status");
        return status == null ? null : (String) status.get("state");
    }

    synchronized void remove(String kind, String name) {
        Map<String, Object> held = kinds.get(kind).remove(name);
        revision++;
        events.add(new Event(revision, kind, true, held));
        notifyAll();
    }
}
