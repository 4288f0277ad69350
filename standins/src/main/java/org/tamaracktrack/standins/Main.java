package org.tamaracktrack.standins;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.ParameterException;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.tamaracktrack.standins.engine.EngineFlags;
import org.tamaracktrack.standins.hosts.HostListFlags;
import org.tamaracktrack.standins.http.StandInServer;
import org.tamaracktrack.standins.log.LogFlags;
import org.tamaracktrack.standins.service.ServiceFlags;
import org.tamaracktrack.standins.weights.WeightStoreFlags;

/**
 * Runs stand-ins of one kind: {@code log}, {@code hosts}, {@code weights}, {@code engine} or {@code
 * service}.
 */
public final class Main {
    private static final int EXIT_USAGE = 2;
    private static final Map<String, Supplier<StandInFlags>> KINDS =
            Map.of(
                    "log", LogFlags::new,
                    "hosts", HostListFlags::new,
                    "weights", WeightStoreFlags::new,
                    "engine", EngineFlags::new,
                    "service", ServiceFlags::new);

    private Main() {}

    /**
     * Starts the stand-ins and prints their ports as {@code ready port=… control=…}. The servers
     * keep the process running after this method has returned.
     *
     * @param arguments the kind and its flags
     */
    public static void main(String[] arguments) {
        JCommander commander = new JCommander();
        commander.setProgramName("standins");
        KINDS.forEach((kind, flags) -> commander.addCommand(kind, flags.get()));
        try {
            commander.parse(arguments);
        } catch (ParameterException failure) {
            System.err.println(failure.getMessage());
            System.exit(EXIT_USAGE);
        }
        if (commander.getParsedCommand() == null) {
            commander.usage();
            System.exit(EXIT_USAGE);
        }
        run(
                (StandInFlags)
                        commander
                                .getCommands()
                                .get(commander.getParsedCommand())
                                .getObjects()
                                .get(0));
    }

    private static void run(StandInFlags flags) {
        flags.exitWithParent();
        List<StandInServer> servers =
                IntStream.range(0, flags.count())
                        .mapToObj(
                                index ->
                                        StandInServer.start(
                                                flags.create(), flags.port(), flags.controlPort()))
                        .toList();
        System.out.println(
                "ready port="
                        + joinPorts(servers, StandInServer::port)
                        + " control="
                        + joinPorts(servers, StandInServer::controlPort));
    }

    private static String joinPorts(
            List<StandInServer> servers, Function<StandInServer, Integer> port) {
        return servers.stream().map(port).map(Object::toString).collect(Collectors.joining(","));
    }
}
