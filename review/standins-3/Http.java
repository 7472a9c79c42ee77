import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** Reads HTTP/1.1 messages. */
final class Http {
    private Http() {
    }

    /** The head of a message, and its body once it is read. */
    static final class Message {
        String startLine = "";
        final List<String[]> headers = new ArrayList<>();
        byte[] body = new byte[0];

        String header(String name) {
            for (String[] header : headers) if (header[0].equalsIgnoreCase(name)) return header[1];
            return null;
        }

        String method() {
            return startLine.split(" ")[0];
        }

        String target() {
            return startLine.split(" ")[1];
        }

        int status() {
            return Integer.parseInt(startLine.split(" ")[1]);
        }

        boolean isChunked() {
            String coding = header("Transfer-Encoding");
            return coding != null && coding.toLowerCase(Locale.ROOT).contains("chunked");
        }
    }

    /** Reads a head; null at the end of the connection. */
    static Message readHead(InputStream in) throws IOException {
        String line = readLine(in);
        while (line != null && line.isEmpty()) line = readLine(in);
        if (line == null) return null;
        Message message = new Message();
        message.startLine = line;
        while (true) {
            line = readLine(in);
            if (line == null) throw new EOFException("in a head");
            if (line.isEmpty()) return message;
            int colon = line.indexOf(':');
            message.headers.add(new String[] {line.substring(0, colon), line.substring(colon + 1).trim()});
        }
    }

    static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        while (true) {
            int b = in.read();
            if (b < 0) {
                if (line.size() == 0) return null;
                throw new EOFException("in a line");
            }
            if (b == '\n') {
                String text = line.toString(StandardCharsets.ISO_8859_1);
                return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
            }
            line.write(b);
        }
    }

    /** Reads the body of a request, or of a response with a length or chunks. */
    static void readBody(InputStream in, Message message) throws IOException {
        if (message.isChunked()) {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            while (true) {
                byte[] chunk = readChunk(in);
                if (chunk.length == 0) break;
                body.write(chunk);
            }
            message.body = body.toByteArray();
            return;
        }
        String length = message.header("Content-Length");
        if (length != null) message.body = readFully(in, Integer.parseInt(length));
    }

    /** The next chunk; an empty one at the end of the body. */
    static byte[] readChunk(InputStream in) throws IOException {
        String line = readLine(in);
        if (line == null) throw new EOFException("in a chunked body");
        int size = Integer.parseInt(line.split(";")[0].trim(), 16);
        byte[] chunk = readFully(in, size);
        String end = readLine(in);
        if (end == null) throw new EOFException("in a chunked body");
        return chunk;
    }

    static byte[] readFully(InputStream in, int size) throws IOException {
        byte[] bytes = in.readNBytes(size);
        if (bytes.length < size) throw new EOFException("after " + bytes.length + " of " + size + " bytes of a body");
        return bytes;
    }

    static BufferedInputStream buffered(InputStream in) {
        return new BufferedInputStream(in, 16_384);
    }
}
