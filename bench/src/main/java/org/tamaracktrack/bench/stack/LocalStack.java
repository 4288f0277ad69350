package org.tamaracktrack.bench.stack;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;

/**
 * The whole system on the loopback interface: stand-ins, target daemons and entry daemons, each a
 * separate process.
 */
public final class LocalStack implements AutoCloseable {
    private static final String COMMAND_MAIN = "org.tamaracktrack.cli.Main";
    private static final String ANY_PORT = "127.0.0.1:0";
    private static final String SHARED_SECRET = "local-stack-secret";
    private static final int COMMAND_HEAP_MEBIBYTES = 64;
    private static final Duration READY_TIMEOUT = Duration.ofSeconds(40);
    private static final Duration COMMAND_TIMEOUT = Duration.ofSeconds(30);
    private static final Duration STOP_TIMEOUT = Duration.ofSeconds(40);

    private final StackPlan plan;
    private final ConcurrentLinkedQueue<RunningProgram> startedPrograms =
            new ConcurrentLinkedQueue<>();
    private final Map<String, StandInProcess> standIns = new LinkedHashMap<>();
    private final Map<String, DaemonProcess> targets = new LinkedHashMap<>();
    private final List<DaemonProcess> entries = new ArrayList<>();
    private final AtomicInteger commandCount = new AtomicInteger();
    private final Thread shutdownHook = new Thread(this::killAll, "kill-children");

    private LocalStack(StackPlan plan) {
        this.plan = plan;
    }

    /**
     * Starts all processes, publishes the configuration and waits until every daemon is ready.
     *
     * @param plan the processes to start
     * @return the running system
     * @throws StackException when a process does not start or become ready, or the configuration
     *     can't be published
     */
    public static LocalStack start(StackPlan plan) {
        Objects.requireNonNull(plan, "plan is null");
        LocalStack stack = new LocalStack(plan);
        Runtime.getRuntime().addShutdownHook(stack.shutdownHook);
        try {
            stack.startStandIns();
            stack.startDaemons();
            stack.publish();
            stack.awaitReady();
            return stack;
        } catch (StackException failure) {
            stack.close();
            throw failure;
        }
    }

    private void startStandIns() {
        startStandIn("log", "log", plan.logFlags());
        startStandIn("weights", "weights", plan.weightFlags());
        startStandIn("hosts", "hosts", hostFlags());
        String weights = weights().address();
        plan.targets().stream()
                .collect(Collectors.groupingBy(TargetPlan::process, Collectors.toList()))
                .forEach(
                        (process, processTargets) ->
                                startTargets(process, processTargets, weights));
        standIns.values().forEach(StandInProcess::address);
    }

    private void startTargets(String process, List<TargetPlan> processTargets, String weights) {
        TargetPlan first = processTargets.get(0);
        List<String> flags = new ArrayList<>(first.flags());
        flags.addAll(List.of("--count", Integer.toString(processTargets.size())));
        if (first.kind().equals("engine")) {
            flags.addAll(List.of("--weights", weights));
        }
        StandInProcess standIn =
                StandInProcess.start(process, first.kind(), flags, plan.directory());
        startedPrograms.add(standIn.program());
        IntStream.range(0, processTargets.size())
                .forEach(
                        index ->
                                standIns.put(
                                        processTargets.get(index).name(), standIn.atIndex(index)));
    }

    private List<String> hostFlags() {
        Stream<String> targetHosts =
                plan.targets().stream().map(target -> target.host() + "=" + target.dataCentre());
        Stream<String> entryHosts =
                Stream.iterate(0, index -> index + 1)
                        .limit(plan.entryDataCentres().size())
                        .map(index -> entryHost(index) + "=" + entryDataCentre(index));
        return Stream.concat(targetHosts, entryHosts)
                .flatMap(host -> Stream.of("--host", host))
                .toList();
    }

    private static String entryHost(int index) {
        return "entry-host-" + (index + 1);
    }

    private String entryDataCentre(int index) {
        return plan.entryDataCentres().get(index);
    }

    private void startStandIn(String name, String kind, List<String> flags) {
        StandInProcess standIn = StandInProcess.start(name, kind, flags, plan.directory());
        startedPrograms.add(standIn.program());
        standIns.put(name, standIn);
    }

    private void startDaemons() {
        for (int index = 0; index < plan.entryDataCentres().size(); index++) {
            entries.add(startEntry(index));
        }
        plan.targets().forEach(target -> targets.put(target.name(), startTarget(target)));
        targets.values().forEach(DaemonProcess::httpAddress);
    }

    private DaemonProcess startEntry(int index) {
        List<String> flags = new ArrayList<>(List.of("--role", "entry"));
        flags.addAll(commonFlags(entryHost(index), entryDataCentre(index), index));
        flags.addAll(plan.entryFlags());
        return startDaemon("entry-" + (index + 1), flags);
    }

    private DaemonProcess startTarget(TargetPlan target) {
        List<String> flags = new ArrayList<>(List.of("--role", "target"));
        flags.addAll(List.of("--target", target.name()));
        flags.addAll(commonFlags(target.host(), target.dataCentre(), -1));
        flags.addAll(plan.targetFlags());
        return startDaemon(target.name() + "-daemon", flags);
    }

    private List<String> commonFlags(String host, String dataCentre, int entryIndex) {
        List<String> flags =
                new ArrayList<>(
                        List.of(
                                "--host", host,
                                "--data-centre", dataCentre,
                                "--http-address", ANY_PORT,
                                "--peer-address", ANY_PORT,
                                "--log-address", log().address(),
                                "--host-list-address", hosts().address(),
                                "--shared-secret", SHARED_SECRET));
        String peers =
                entries.stream()
                        .filter(entry -> entryIndex < 0 || entries.indexOf(entry) != entryIndex)
                        .filter(entry -> entry.program().alive())
                        .map(DaemonProcess::peerAddress)
                        .collect(Collectors.joining(","));
        if (!peers.isEmpty()) {
            flags.addAll(List.of("--peers", peers));
        }
        return flags;
    }

    private DaemonProcess startDaemon(String name, List<String> flags) {
        DaemonProcess daemon = DaemonProcess.start(name, flags, plan.directory());
        startedPrograms.add(daemon.program());
        return daemon;
    }

    private void publish() {
        CommandResult result = command(publishArguments(plan.document().toString()));
        if (result.status() != 0) {
            throw StackException.of("publishing the configuration failed: " + result.output());
        }
    }

    /**
     * Returns the arguments that publish a configuration with this system's target addresses as
     * parameters.
     *
     * @param document path of the configuration file
     * @return the arguments of the operators' command-line tool
     */
    public String[] publishArguments(String document) {
        Stream<String> parameters =
                plan.targets().stream()
                        .flatMap(
                                target ->
                                        Stream.of(
                                                "--parameter",
                                                target.parameter()
                                                        + "="
                                                        + standIn(target.name()).address()));
        return Stream.concat(Stream.of("publish", document), parameters).toArray(String[]::new);
    }

    /**
     * Waits until every running daemon accepts new requests.
     *
     * @throws StackException when a daemon is not ready in time
     */
    public void awaitReady() {
        Stream.concat(entries.stream(), targets.values().stream())
                .filter(daemon -> daemon.program().alive())
                .forEach(
                        daemon ->
                                Waiting.until(
                                        daemon.program().name() + " is ready",
                                        READY_TIMEOUT,
                                        daemon::ready));
    }

    /**
     * Runs the operators' command-line tool against this system's log and waits until it ends.
     *
     * @param arguments the subcommand and its arguments
     * @return its exit status and output
     */
    public CommandResult command(String... arguments) {
        List<String> fullArguments = new ArrayList<>(List.of(arguments));
        fullArguments.addAll(List.of("--log-address", log().address()));
        JavaProgram program =
                new JavaProgram(
                        "command-" + commandCount.incrementAndGet(),
                        COMMAND_MAIN,
                        COMMAND_HEAP_MEBIBYTES,
                        fullArguments);
        RunningProgram running = RunningProgram.start(program, plan.directory());
        startedPrograms.add(running);
        int status = running.awaitExit(COMMAND_TIMEOUT);
        return new CommandResult(status, running.wholeOutput());
    }

    /**
     * Returns an entry daemon.
     *
     * @param index its index, from 0
     * @return the daemon
     */
    public DaemonProcess entry(int index) {
        return entries.get(index);
    }

    /**
     * Returns the entry daemons.
     *
     * @return the daemons
     */
    public List<DaemonProcess> entries() {
        return List.copyOf(entries);
    }

    /**
     * Returns a target daemon.
     *
     * @param target the target's name
     * @return the daemon
     */
    public DaemonProcess target(String target) {
        return Objects.requireNonNull(targets.get(target), "no target of this name");
    }

    /**
     * Returns the target daemons by target name.
     *
     * @return the daemons
     */
    public Map<String, DaemonProcess> targets() {
        return Map.copyOf(targets);
    }

    /**
     * Starts a new process in place of an entry daemon, without waiting until it is ready.
     *
     * @param index its index, from 0
     * @return the new daemon
     */
    public DaemonProcess restartEntry(int index) {
        entries.set(index, startEntry(index));
        return entries.get(index);
    }

    /**
     * Starts a new process in place of a target daemon, without waiting until it is ready.
     *
     * @param name the target's name
     * @return the new daemon
     */
    public DaemonProcess restartTarget(String name) {
        TargetPlan target =
                plan.targets().stream()
                        .filter(candidate -> candidate.name().equals(name))
                        .findFirst()
                        .orElseThrow(
                                () ->
                                        StackException.of(
                                                "no target of this name in the plan: " + name));
        targets.put(name, startTarget(target));
        return targets.get(name);
    }

    /**
     * Returns the stand-in of the shared log.
     *
     * @return the stand-in
     */
    public StandInProcess log() {
        return standIn("log");
    }

    /**
     * Returns the stand-in of the host list.
     *
     * @return the stand-in
     */
    public StandInProcess hosts() {
        return standIn("hosts");
    }

    /**
     * Returns the stand-in of the weight store.
     *
     * @return the stand-in
     */
    public StandInProcess weights() {
        return standIn("weights");
    }

    /**
     * Returns the stand-in engine or service of a target.
     *
     * @param target the target's name, or {@code log}, {@code hosts} or {@code weights}
     * @return the stand-in
     */
    public StandInProcess standIn(String target) {
        return Objects.requireNonNull(standIns.get(target), "no stand-in of this name");
    }

    /**
     * Returns the stand-in engines by target name.
     *
     * @return the stand-ins
     */
    public Map<String, StandInProcess> engines() {
        return standInsOfKind("engine");
    }

    /**
     * Returns the stand-in plain services by target name.
     *
     * @return the stand-ins
     */
    public Map<String, StandInProcess> services() {
        return standInsOfKind("service");
    }

    private Map<String, StandInProcess> standInsOfKind(String kind) {
        return plan.targets().stream()
                .filter(target -> target.kind().equals(kind))
                .collect(Collectors.toMap(TargetPlan::name, target -> standIn(target.name())));
    }

    /**
     * Stops the running daemons with SIGTERM and waits until they have ended, entry daemons first.
     *
     * @return the exit statuses by process name
     */
    public Map<String, Integer> stopDaemons() {
        Map<String, Integer> statuses = new LinkedHashMap<>();
        statuses.putAll(stop(entries));
        statuses.putAll(stop(List.copyOf(targets.values())));
        return statuses;
    }

    private static Map<String, Integer> stop(List<DaemonProcess> daemons) {
        List<RunningProgram> programs =
                daemons.stream().map(DaemonProcess::program).filter(RunningProgram::alive).toList();
        programs.forEach(RunningProgram::terminate);
        Map<String, Integer> statuses = new LinkedHashMap<>();
        programs.forEach(program -> statuses.put(program.name(), program.awaitExit(STOP_TIMEOUT)));
        return statuses;
    }

    private void killAll() {
        startedPrograms.stream().filter(RunningProgram::alive).forEach(RunningProgram::kill);
    }

    /** Kills every process of this system that is still running. */
    @Override
    public void close() {
        killAll();
        try {
            Runtime.getRuntime().removeShutdownHook(shutdownHook);
        } catch (IllegalStateException shuttingDown) {
            // The JVM is shutting down, and the hook kills the processes.
        }
    }
}
