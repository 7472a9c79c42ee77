import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes what was sent, answered and run to a file, with milliseconds since the start. */
final class Record implements AutoCloseable {
    /** How a script ends that has seen a broken rule; run.sh makes 1 of it, and 2 of everything but this and 0. */
    static final int BROKEN = 10;

    private final long start = System.nanoTime();
    private final PrintWriter out;

    Record(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file));
    }

    long millis() {
        return (System.nanoTime() - start) / 1_000_000;
    }

    synchronized void line(String format, Object... values) {
        out.printf("%7d ms  %s%n", millis(), String.format(format, values));
    }

    /** A line that is also printed. */
    void say(String format, Object... values) {
        line(format, values);
        System.out.printf(format + "%n", values);
    }

    @Override
    public synchronized void close() {
        out.close();
    }
}
