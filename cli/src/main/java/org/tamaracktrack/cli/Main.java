package org.tamaracktrack.cli;

/** Entry point of the program. */
public final class Main {
    private Main() {}

    /**
     * Runs the program.
     *
     * @param arguments the command line
     */
    public static void main(String[] arguments) {
        System.exit(2);
    }
}
