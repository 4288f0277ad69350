package org.tamaracktrack.daemon;

import java.io.PrintStream;
import java.util.Map;
import org.tamaracktrack.core.error.TamaracktrackException;
import org.tamaracktrack.daemon.settings.DaemonSettings;
import org.tamaracktrack.daemon.settings.SettingsParser;

/** Entry point of the daemon. */
public final class Main {
    private static final int WRONG_SETTINGS = 2;
    private static final int START_FAILED = 3;

    private Main() {}

    /**
     * Runs the daemon until it is told to stop.
     *
     * @param arguments the command line
     */
    public static void main(String[] arguments) {
        int status = run(arguments, System.getenv(), System.out, System.err);
        if (status >= 0) {
            System.exit(status);
        }
    }

    /** Returns the status to exit with, or -1 when the daemon runs. */
    static int run(
            String[] arguments, Map<String, String> environment, PrintStream out, PrintStream err) {
        SettingsParser.Result result = SettingsParser.parse(arguments, environment);
        if (result instanceof SettingsParser.Invalid invalid) {
            invalid.problems().forEach(err::println);
            err.println();
            err.println(SettingsParser.usage());
            return WRONG_SETTINGS;
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
            return START_FAILED;
        }
    }
}
