package org.magnoliapick.pgm;

import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import org.magnoliapick.pgm.internal.Console;
import org.magnoliapick.pgm.internal.Launcher;

/** Starts magnoliapickctl. */
public final class Main {
    private Main() {}

    /** Runs the command line and ends the process with its exit code. */
    public static void main(String[] args) {
        PrintWriter out = new PrintWriter(System.out, true, StandardCharsets.UTF_8);
        PrintWriter err = new PrintWriter(System.err, true, StandardCharsets.UTF_8);
        System.exit(run(args, System.getenv(), new Console(out, err)));
    }

    /** Runs a command line and returns its exit code. */
    public static int run(String[] args, Map<String, String> environment, Console console) {
        int code = new Launcher(environment, console).run(args).code();
        console.out().flush();
        console.err().flush();
        return code;
    }
}
