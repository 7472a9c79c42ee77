import java.io.BufferedWriter;
import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;

/** What all cases share: the record, threads, ports and the end of the processes that were started. */
final class Stand {
    private static final long START = System.nanoTime();
    private static final List<Process> PROCESSES = new ArrayList<>();
    private static final Set<Integer> PORTS = new HashSet<>();
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

    /** A port below the kernel's range for clients, so that no client's connection takes it before it is used. */
    static synchronized int freePort() throws IOException {
        InetAddress loopback = InetAddress.getByName("127.0.0.1");
        for (int attempt = 0; attempt < 200; attempt++) {
            int port = ThreadLocalRandom.current().nextInt(12_000, 30_000);
            try (ServerSocket tcp = new ServerSocket(port, 1, loopback); DatagramSocket udp = new DatagramSocket(port, loopback)) {
                if (PORTS.add(port)) return port;
            } catch (IOException taken) {
                // Another one is tried.
            }
        }
        throw new IOException("no free port");
    }

    static synchronized void onExit(Process process) {
        if (PROCESSES.isEmpty()) {
            Runtime.getRuntime().addShutdownHook(new Thread(() -> PROCESSES.forEach(p -> p.destroyForcibly().onExit().join())));
        }
        PROCESSES.add(process);
    }

    /**
     * Ends the run with the result: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. A broken rule ends the JVM
     * with 10, since a JVM that fails ends with 1.
     */
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
        Runtime.getRuntime().halt(status == 1 ? 10 : status);
    }
}
