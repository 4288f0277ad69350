package org.tamaracktrack.bench.stack;

import java.nio.file.Path;
import java.util.List;
import java.util.Objects;
import java.util.stream.Stream;

/**
 * Description of a Java program of this project. It runs with the class path of the current
 * process.
 *
 * @param name the name of the process, also used for its output file
 * @param mainClass its main class
 * @param heapMebibytes its maximum heap size in mebibytes
 * @param arguments the arguments of its main method
 */
public record JavaProgram(
        String name, String mainClass, int heapMebibytes, List<String> arguments) {

    /** Checks the arguments. */
    public JavaProgram {
        Objects.requireNonNull(name, "name is null");
        Objects.requireNonNull(mainClass, "mainClass is null");
        arguments = List.copyOf(arguments);
    }

    /**
     * Returns the command line that starts the program.
     *
     * @return path of the Java launcher and its arguments
     */
    public List<String> command() {
        Stream<String> java =
                Stream.of(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-Xmx" + heapMebibytes + "m",
                        "-XX:+UseSerialGC",
                        "-XX:TieredStopAtLevel=1",
                        "-Xshare:auto",
                        "-Djava.util.logging.manager=org.jboss.logmanager.LogManager",
                        "-cp",
                        classPath(),
                        mainClass);
        return Stream.concat(java, arguments.stream()).toList();
    }

    // Surefire starts tests from a jar whose manifest refers to the class path; child processes
    // need
    // the expanded class path.
    private static String classPath() {
        return System.getProperty(
                "surefire.test.class.path", System.getProperty("java.class.path"));
    }
}
