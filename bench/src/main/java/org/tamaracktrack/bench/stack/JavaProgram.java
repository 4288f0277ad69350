package org.tamaracktrack.bench.stack;

import java.nio.file.Path;
import java.util.List;
import java.util.Objects;
import java.util.stream.Stream;

/**
 * A program of this project, to be run on the class path of the running one.
 *
 * @param name the name of its process, used for its output file
 * @param mainClass its main class
 * @param heapMebibytes its heap
 * @param arguments its command line
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
     * Returns the command that runs it.
     *
     * @return program and arguments
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

    // Surefire runs tests from a jar that only names the class path, which a child can't use.
    private static String classPath() {
        return System.getProperty(
                "surefire.test.class.path", System.getProperty("java.class.path"));
    }
}
