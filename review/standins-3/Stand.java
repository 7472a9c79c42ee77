import java.io.BufferedWriter;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** What all cases share: the record, threads, ports and the end of the processes that were started. */
final class Stand {
    private static final long START = System.nanoTime();
    private static final List<Process> PROCESSES = new ArrayList<>();
    private static BufferedWriter record;

    private Stand() {
    }

    interface Action {
        void run() throws Exception;
    }

    /** Runs [action] on a thread of its own; a connection that breaks ends it. */
    static Thread daemon(Action action) {
        Thread thread = new Thread(() -> {
            try {
                action.run();
            } catch (IOException ended) {
                // The other side has left.
            } catch (Exception failure) {
                log("stand-in failed: " + failure);
            }
        });
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    static void openRecord(Path file) throws IOException {
        record = Files.newBufferedWriter(file);
    }

    /** Writes a line with the seconds since the start to the record. */
    static synchronized void log(String line) {
        try {
            record.write(String.format(Locale.ROOT, "%8.3f %s%n", seconds(), line));
            record.flush();
        } catch (IOException failure) {
            throw new IllegalStateException(failure);
        }
    }

    static double seconds() {
        return (System.nanoTime() - START) / 1e9;
    }

    static String address(ServerSocket server) {
        return server.getInetAddress().getHostAddress() + ":" + server.getLocalPort();
    }

    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return socket.getLocalPort();
        }
    }

    static synchronized void onExit(Process process) {
        if (PROCESSES.isEmpty()) {
            Runtime.getRuntime().addShutdownHook(new Thread(() -> PROCESSES.forEach(Process::destroyForcibly)));
        }
        PROCESSES.add(process);
    }

    /** Ends the run with the result: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. */
    static void finish(int status, String verdict) {
        log(verdict);
        System.out.println(verdict);
        synchronized (Stand.class) {
            PROCESSES.forEach(Process::destroyForcibly);
        }
        for (Process process : PROCESSES) {
            try {
                process.waitFor();
            } catch (InterruptedException interrupted) {
                Thread.currentThread().interrupt();
            }
        }
        Runtime.getRuntime().halt(status);
    }
}
