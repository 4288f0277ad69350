package org.tamaracktrack.daemon.settings;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.ParameterDescription;
import com.beust.jcommander.ParameterException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.tamaracktrack.core.admission.AdmissionKind;
import org.tamaracktrack.core.error.TamaracktrackException;
import org.tamaracktrack.core.id.DataCentreId;
import org.tamaracktrack.core.id.HostId;
import org.tamaracktrack.core.id.TargetId;
import org.tamaracktrack.core.placement.PlacementKind;
import org.tamaracktrack.core.routing.RoutingKind;

/** Reads the settings from flags and environment variables and validates all of them. */
public final class SettingsParser {
    private static final String ENVIRONMENT_PREFIX = "TAMARACKTRACK_";
    private static final int MINIMUM_SECRET_LENGTH = 8;
    private static final String DEFAULT_DRAIN_MILLIS = "30000";
    private static final String DEFAULT_BALANCER_LAG_MILLIS = "2000";
    private static final String DEFAULT_REPORT_MILLIS = "5000";
    private static final String DEFAULT_MAXIMUM_BODY_BYTES = "1048576";
    private static final String DEFAULT_MAXIMUM_CONNECTIONS = "2000";
    private static final long MAXIMUM_MILLIS = 86_400_000;

    private final Map<String, String> environment;
    private final List<String> problems = new ArrayList<>();

    private SettingsParser(Map<String, String> environment) {
        this.environment = environment;
    }

    /** The outcome of reading the settings. */
    public sealed interface Result {}

    /**
     * All settings are valid.
     *
     * @param settings the settings
     */
    public record Valid(DaemonSettings settings) implements Result {}

    /**
     * At least one setting is invalid.
     *
     * @param problems all problems found, one sentence each
     */
    public record Invalid(List<String> problems) implements Result {

        /** Copies the list. */
        public Invalid {
            problems = List.copyOf(problems);
        }
    }

    /**
     * Reads and validates the settings. A flag takes precedence over its environment variable.
     *
     * @param arguments the command line arguments
     * @param environment the environment variables by name
     * @return the settings, or all problems found
     */
    public static Result parse(String[] arguments, Map<String, String> environment) {
        Objects.requireNonNull(arguments, "arguments is null");
        Objects.requireNonNull(environment, "environment is null");
        return new SettingsParser(environment).parseAndCheck(arguments);
    }

    /**
     * Returns the usage text, which lists every flag.
     *
     * @return the text
     */
    public static String usage() {
        StringBuilder text = new StringBuilder();
        JCommander commander = commander(new DaemonFlags());
        commander.setProgramName("tamaracktrackd");
        commander.getUsageFormatter().usage(text);
        return text.toString();
    }

    private static JCommander commander(DaemonFlags flags) {
        JCommander commander = new JCommander(flags);
        commander.setAcceptUnknownOptions(true);
        commander.setAllowParameterOverwriting(false);
        return commander;
    }

    private Result parseAndCheck(String[] arguments) {
        DaemonFlags flags = new DaemonFlags();
        JCommander commander = commander(flags);
        try {
            commander.parse(arguments);
        } catch (ParameterException failure) {
            problems.add(failure.getMessage());
        }
        Stream.concat(commander.getUnknownOptions().stream(), flags.unexpectedArguments.stream())
                .distinct()
                .forEach(option -> problems.add("unknown flag or argument: " + option));
        checkEnvironmentNames(commander);
        DaemonSettings settings = settings(flags);
        return problems.isEmpty() ? new Valid(settings) : new Invalid(problems);
    }

    private void checkEnvironmentNames(JCommander commander) {
        List<String> knownNames =
                commander.getParameters().stream()
                        .map(ParameterDescription::getLongestName)
                        .map(SettingsParser::environmentVariable)
                        .collect(Collectors.toList());
        environment.keySet().stream()
                .filter(name -> name.startsWith(ENVIRONMENT_PREFIX))
                .filter(name -> !knownNames.contains(name))
                .sorted()
                .forEach(name -> problems.add("unknown environment variable: " + name));
    }

    private static String environmentVariable(String flag) {
        return ENVIRONMENT_PREFIX + flag.substring(2).replace('-', '_').toUpperCase(Locale.ROOT);
    }

    private DaemonSettings settings(DaemonFlags flags) {
        Optional<Settings.Role> role =
                required("--role", flags.role, SettingsParser::roleOf, "entry or target");
        Optional<TargetId> target =
                value("--target", flags.target, TargetId::of, "a target's identifier");
        checkTarget(role, target);
        Settings settings =
                new Settings(
                        role.orElse(Settings.Role.ENTRY),
                        required("--host", flags.host, HostId::of, "an identifier").orElse(null),
                        required("--data-centre", flags.dataCentre, DataCentreId::of, "a name")
                                .orElse(null),
                        target,
                        address("--http-address", flags.httpAddress).orElse(null),
                        address("--peer-address", flags.peerAddress).orElse(null),
                        address("--log-address", flags.logAddress).orElse(null),
                        value(
                                "--host-list-address",
                                flags.hostListAddress,
                                SettingsParser::addressOf,
                                "IP:PORT"),
                        value("--peers", flags.peers, SettingsParser::addressesOf, "IP:PORT,...")
                                .orElse(List.of()),
                        required(
                                        "--shared-secret",
                                        flags.sharedSecret,
                                        SettingsParser::secretOf,
                                        MINIMUM_SECRET_LENGTH + " characters or more")
                                .orElse(null),
                        millis("--drain-millis", flags.drainMillis, DEFAULT_DRAIN_MILLIS),
                        millis(
                                "--balancer-lag-millis",
                                flags.balancerLagMillis,
                                DEFAULT_BALANCER_LAG_MILLIS),
                        millis("--report-millis", flags.reportMillis, DEFAULT_REPORT_MILLIS),
                        count(
                                "--maximum-body-bytes",
                                flags.maximumBodyBytes,
                                DEFAULT_MAXIMUM_BODY_BYTES),
                        count(
                                "--maximum-connections",
                                flags.maximumConnections,
                                DEFAULT_MAXIMUM_CONNECTIONS));
        checkTimes(settings);
        return new DaemonSettings(
                settings, routing(flags), placement(flags), admission(flags), checkOnly(flags));
    }

    private void checkTarget(Optional<Settings.Role> role, Optional<TargetId> target) {
        if (role.equals(Optional.of(Settings.Role.TARGET)) && target.isEmpty()) {
            problems.add("--target is missing: --role target needs it");
        }
        if (role.equals(Optional.of(Settings.Role.ENTRY)) && target.isPresent()) {
            problems.add("--target contradicts --role entry: leave one out");
        }
    }

    private void checkTimes(Settings settings) {
        if (settings.role() == Settings.Role.ENTRY
                && settings.balancerLagMillis() >= settings.drainMillis()) {
            problems.add(
                    "--balancer-lag-millis must be less than --drain-millis: "
                            + settings.balancerLagMillis()
                            + " against "
                            + settings.drainMillis());
        }
    }

    private RoutingKind routing(DaemonFlags flags) {
        return value(
                        "--routing",
                        flags.routing,
                        RoutingKind::of,
                        Arrays.stream(RoutingKind.values())
                                .map(RoutingKind::text)
                                .collect(Collectors.joining(", ")))
                .orElse(RoutingKind.ESTIMATED_WAIT);
    }

    private PlacementKind placement(DaemonFlags flags) {
        return value(
                        "--placement",
                        flags.placement,
                        text -> PlacementKind.valueOf(text.toUpperCase(Locale.ROOT)),
                        "hysteresis, static, lru, greedy")
                .orElse(PlacementKind.HYSTERESIS);
    }

    private AdmissionKind admission(DaemonFlags flags) {
        return value(
                        "--admission",
                        flags.admission,
                        text -> AdmissionKind.valueOf(text.toUpperCase(Locale.ROOT)),
                        "fair, fifo")
                .orElse(AdmissionKind.FAIR);
    }

    private boolean checkOnly(DaemonFlags flags) {
        return flags.checkSettings
                || "true".equals(environment.get(ENVIRONMENT_PREFIX + "CHECK_SETTINGS"));
    }

    private <T> Optional<T> required(
            String flag, String text, Function<String, T> reader, String allowed) {
        if (text == null && environment.get(environmentVariable(flag)) == null) {
            problems.add(flag + " is missing: " + allowed);
            return Optional.empty();
        }
        return value(flag, text, reader, allowed);
    }

    private <T> Optional<T> value(
            String flag, String text, Function<String, T> reader, String allowed) {
        Optional<String> givenText =
                Optional.ofNullable(text)
                        .or(() -> Optional.ofNullable(environment.get(environmentVariable(flag))));
        try {
            return givenText.map(reader);
        } catch (TamaracktrackException | IllegalArgumentException failure) {
            String displayedText =
                    flag.equals("--shared-secret") ? "(not shown)" : givenText.orElse("");
            problems.add(flag + " is wrong: found " + displayedText + ", allowed " + allowed);
            return Optional.empty();
        }
    }

    private Optional<InetSocketAddress> address(String flag, String text) {
        return required(flag, text, SettingsParser::addressOf, "IP:PORT");
    }

    private long millis(String flag, String text, String defaultText) {
        return value(flag, text, SettingsParser::millisOf, "1 to " + MAXIMUM_MILLIS)
                .orElseGet(() -> Long.parseLong(defaultText));
    }

    private int count(String flag, String text, String defaultText) {
        return value(flag, text, SettingsParser::countOf, "1 to " + Integer.MAX_VALUE)
                .orElseGet(() -> Integer.parseInt(defaultText));
    }

    private static Settings.Role roleOf(String text) {
        return Settings.Role.valueOf(text.toUpperCase(Locale.ROOT));
    }

    private static String secretOf(String text) {
        if (text.length() < MINIMUM_SECRET_LENGTH) {
            throw new IllegalArgumentException("too short");
        }
        return text;
    }

    private static long millisOf(String text) {
        long millis = Long.parseLong(text);
        if (millis < 1 || millis > MAXIMUM_MILLIS) {
            throw new IllegalArgumentException("out of range");
        }
        return millis;
    }

    private static int countOf(String text) {
        int count = Integer.parseInt(text);
        if (count < 1) {
            throw new IllegalArgumentException("out of range");
        }
        return count;
    }

    private static List<InetSocketAddress> addressesOf(String text) {
        return Arrays.stream(text.split(","))
                .map(String::trim)
                .filter(part -> !part.isEmpty())
                .map(SettingsParser::addressOf)
                .collect(Collectors.toList());
    }

    private static InetSocketAddress addressOf(String text) {
        return IpAddresses.parse(text);
    }
}
