import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Reads and writes JSON as maps, lists, strings, numbers, booleans and null. */
final class Json {
    private final String text;
    private int at;

    private Json(String text) {
        this.text = text;
    }

    static Object parse(String text) {
        return new Json(text).value();
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> parseObject(String text) {
        return (Map<String, Object>) parse(text);
    }

    private char next() {
        while (Character.isWhitespace(text.charAt(at))) at++;
        return text.charAt(at);
    }

    private Object value() {
        char first = next();
        if (first == '{') return object();
        if (first == '[') return list();
        if (first == '"') return string();
        int start = at;
        while (at < text.length() && ",]} \t\r\n".indexOf(text.charAt(at)) < 0) at++;
        String word = text.substring(start, at);
        if (word.equals("null")) return null;
        if (word.equals("true") || word.equals("false")) return word.equals("true");
        double number = Double.parseDouble(word);
        if (number == Math.rint(number)) return (long) number;
        return number;
    }

    private Map<String, Object> object() {
        Map<String, Object> fields = new LinkedHashMap<>();
        at++;
        while (next() != '}') {
            String name = string();
            next();
            at++;
            fields.put(name, value());
            if (next() == ',') at++;
        }
        at++;
        return fields;
    }

    private List<Object> list() {
        List<Object> items = new ArrayList<>();
        at++;
        while (next() != ']') {
            items.add(value());
            if (next() == ',') at++;
        }
        at++;
        return items;
    }

    private String string() {
        next();
        StringBuilder found = new StringBuilder();
        for (at++; text.charAt(at) != '"'; at++) {
            char current = text.charAt(at);
            if (current == '\\') {
                current = text.charAt(++at);
                if (current == 'u') {
                    current = (char) Integer.parseInt(text.substring(at + 1, at + 5), 16);
                    at += 4;
                } else if ("nrt".indexOf(current) >= 0) {
                    current = "\n\r\t".charAt("nrt".indexOf(current));
                }
            }
            found.append(current);
        }
        at++;
        return found.toString();
    }

    /** An object of alternating names and values. */
    static Map<String, Object> object(Object... namesAndValues) {
        Map<String, Object> fields = new LinkedHashMap<>();
        for (int i = 0; i < namesAndValues.length; i += 2) fields.put((String) namesAndValues[i], namesAndValues[i + 1]);
        return fields;
    }

    static String write(Object value) {
        StringBuilder out = new StringBuilder();
        write(value, out);
        return out.toString();
    }

    private static void write(Object value, StringBuilder out) {
        if (value instanceof Map<?, ?> fields) {
            String separator = "{";
            for (Map.Entry<?, ?> field : fields.entrySet()) {
                out.append(separator).append('"').append(field.getKey()).append("\":");
                write(field.getValue(), out);
                separator = ",";
            }
            out.append(fields.isEmpty() ? "{}" : "}");
        } else if (value instanceof List<?> items) {
            String separator = "[";
            for (Object item : items) {
                out.append(separator);
                write(item, out);
                separator = ",";
            }
            out.append(items.isEmpty() ? "[]" : "]");
        } else if (value instanceof String text) {
            out.append('"').append(text.replace("\\", "\\\\").replace("\"", "\\\"")).append('"');
        } else {
            out.append(value);
        }
    }
}
