package org.tamaracktrack.daemon;

import java.io.PrintStream;
import java.util.Map;
import org.tamaracktrack.core.error.TamaracktrackException;
import org.tamaracktrack.daemon.settings.DaemonSettings;
import org.tamaracktrack.daemon.settings.SettingsParser;

/** Starts a daemon from the command line. */
public final class Main {
    private static final int EXIT_INVALID_SETTINGS = 2;
    private static final int EXIT_START_FAILED = 3;

    private Main() {}

    /**
     * Runs the daemon until it is stopped by a signal.
     *
     * @param arguments the command line arguments
     */
    public static void main(String[] arguments) {
        int status = run(arguments, System.getenv(), System.out, System.err);
        if (status >= 0) {
            System.exit(status);
        }
    }

    /** Returns the exit status, or -1 if the daemon was started and keeps running. */
    static int run(
            String[] arguments, Map<String, String> environment, PrintStream out, PrintStream err) {
        SettingsParser.Result result = SettingsParser.parse(arguments, environment);
        if (result instanceof SettingsParser.Invalid invalid) {
            invalid.problems().forEach(err::println);
            err.println();
            err.println(SettingsParser.usage());
            return EXIT_INVALID_SETTINGS;
        }
        DaemonSettings settings = ((SettingsParser.Valid) result).settings();
        if (settings.checkOnly()) {
            out.println("settings are in order: " + settings.describe());
            return 0;
        }
        return start(settings, out, err);
    }

    private static int start(DaemonSettings settings, PrintStream out, PrintStream err) {
        try {
            DaemonProcess process = DaemonProcess.start(settings);
            process.stopOnSignals();
            out.println(process.readyLine());
            out.flush();
            return -1;
        } catch (TamaracktrackException failure) {
            err.println("start failed: " + failure.getMessage());
            return EXIT_START_FAILED;
        }
    }
}
