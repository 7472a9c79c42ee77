import java.util.List;
import java.util.Map;

/** The operator's configuration with the limits that the pages show. */
final class Config {
    static final String KEY = "n2ctnfzs989anu6wsjnb";

    private Config() {
    }

    static Map<String, Object> route(String name, String prefix, String kind, String service, int timeoutMs, int targetMs,
        int maxAttempts) {
        return Json.map("name", name, "hostname", "desk.example", "pathPrefix", prefix, "kind", kind, "timeoutMs",
            (long) timeoutMs, "targetLatencyMs", (long) targetMs, "priority", 1L, "service", service, "maxAttempts",
            (long) maxAttempts, "public", false, "sticky", false, "resumable", false);
    }

    static Map<String, Object> service(String name) {
        return Json.map("name", name, "healthPath", "/health", "maxConns", 110L, "protocol", "h1", "tls", false, "coldStartS",
            0.0, "coldPerS", 0.0);
    }

    static Map<String, Object> of(long version, List<Object> routes, List<Object> services) {
        return Json.map("version", version, "routes", routes, "services", services, "limits",
            Json.map("maxHeaderBytes", 16384L, "maxBodyBytes", 4194304L, "headerTimeoutMs", 3000L, "idleTimeoutMs", 15000L),
            "tenants", List.of(Json.map("name", "hule930", "apiKeys", List.of(KEY), "priority", 1L)));
    }
}
