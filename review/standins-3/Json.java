import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A small JSON reader and writer for the stand-ins. */
final class Json {
    private final String text;
    private int at;

    private Json(String text) {
        this.text = text;
    }

    static Object parse(String text) {
        return new Json(text).value();
    }

    private void space() {
        while (at < text.length() && text.charAt(at) <= ' ') at++;
    }

    private Object value() {
        space();
        char c = text.charAt(at);
        if (c == '{') {
            Map<String, Object> map = new LinkedHashMap<>();
            at++;
            space();
            while (text.charAt(at) != '}') {
                space();
                String name = (String) value();
                space();
                at++;
                map.put(name, value());
                space();
                if (text.charAt(at) == ',') at++;
                space();
            }
            at++;
            return map;
        }
        if (c == '[') {
            List<Object> list = new ArrayList<>();
            at++;
            space();
            while (text.charAt(at) != ']') {
                list.add(value());
                space();
                if (text.charAt(at) == ',') at++;
                space();
            }
            at++;
            return list;
        }
        if (c == '"') {
            StringBuilder string = new StringBuilder();
            at++;
            while (text.charAt(at) != '"') {
                char d = text.charAt(at++);
                if (d != '\\') {
                    string.append(d);
                    continue;
                }
                char e = text.charAt(at++);
                if (e == 'n') string.append('\n');
                else if (e == 't') string.append('\t');
                else if (e == 'r') string.append('\r');
                else if (e == 'u') {
                    string.append((char) Integer.parseInt(text.substring(at, at + 4), 16));
                    at += 4;
                } else string.append(e);
            }
            at++;
            return string.toString();
        }
        int from = at;
        while (at < text.length() && ",}] \r\n\t".indexOf(text.charAt(at)) < 0) at++;
        String word = text.substring(from, at);
        if (word.equals("null")) return null;
        if (word.equals("true") || word.equals("false")) return word.equals("true");
        if (word.matches("-?\\d+")) return Long.parseLong(word);
        return Double.parseDouble(word);
    }

    static String write(Object value) {
        StringBuilder out = new StringBuilder();
        write(value, out);
        return out.toString();
    }

    private static void write(Object value, StringBuilder out) {
        if (value instanceof Map<?, ?> map) {
            out.append('{');
            boolean first = true;
            for (Map.Entry<?, ?> entry : map.entrySet()) {
                if (!first) out.append(',');
                first = false;
                write(entry.getKey(), out);
                out.append(':');
                write(entry.getValue(), out);
            }
            out.append('}');
        } else if (value instanceof List<?> list) {
            out.append('[');
            for (int i = 0; i < list.size(); i++) {
                if (i > 0) out.append(',');
                write(list.get(i), out);
            }
            out.append(']');
        } else if (value instanceof String string) {
            out.append('"');
            for (char c : string.toCharArray()) {
                if (c == '"' || c == '\\') out.append('\\').append(c);
                else if (c < ' ') out.append(String.format("\\u%04x", (int) c));
                else out.append(c);
            }
            out.append('"');
        } else {
            out.append(value);
        }
    }

    /** A map of alternating names and values. */
    static Map<String, Object> map(Object... parts) {
        Map<String, Object> map = new LinkedHashMap<>();
        for (int i = 0; i < parts.length; i += 2) map.put((String) parts[i], parts[i + 1]);
        return map;
    }
}
