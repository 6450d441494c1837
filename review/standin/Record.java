import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes record.txt and starts threads. */
final class Record {
    /** A step of a thread of its own. */
    interface Step {
        void run() throws Exception;
    }

    private static final long START = System.nanoTime();
    private static PrintWriter sOut;

    private Record() {}

    static void open(Path file) throws IOException {
        sOut = new PrintWriter(Files.newBufferedWriter(file), true);
    }

    static long millis() {
        return (System.nanoTime() - START) / 1_000_000;
    }

    static synchronized void line(String text) {
        sOut.println(String.format("%8.3f ", millis() / 1000.0) + text);
    }

    static Thread daemon(String name, Step step) {
        Thread thread =
                new Thread(
                        () -> {
                            try {
                                step.run();
                            } catch (IOException e) {
                                // The channel ended; who needs to know of that handles it.
                            } catch (Exception e) {
                                line("fault in " + name + ": " + e);
                            }
                        },
                        name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }
}
