package org.tamaracktrack.cli.command;

import com.beust.jcommander.Parameter;
import java.net.InetSocketAddress;
import java.util.Optional;
import org.tamaracktrack.cli.log.ConfigurationLog;
import org.tamaracktrack.cli.log.Patience;
import org.tamaracktrack.cli.log.TimedPatience;
import org.tamaracktrack.core.config.ConfigurationInForce;
import org.tamaracktrack.core.error.ErrorCode;
import org.tamaracktrack.core.error.TamaracktrackException;
import org.tamaracktrack.link.log.LogClient;

/** Options of the commands that read or write the log. */
final class LogOptions {
    private static final String ADDRESS_VARIABLE = "TAMARACKTRACK_LOG_ADDRESS";
    private static final String TIMEOUT_VARIABLE = "TAMARACKTRACK_TIMEOUT_MILLIS";
    private static final String OPERATOR_VARIABLE = "TAMARACKTRACK_OPERATOR";
    private static final long DEFAULT_TIMEOUT_MILLIS = 15_000;
    private static final long LONGEST_TIMEOUT_MILLIS = 3_600_000;

    @Parameter(
            names = "--log-address",
            order = 80,
            description = "IP number and port of the log (TAMARACKTRACK_LOG_ADDRESS)")
    private String address;

    @Parameter(
            names = "--timeout-millis",
            order = 81,
            description = "how long to wait for the log (TAMARACKTRACK_TIMEOUT_MILLIS; 15000)")
    private String timeoutMillis;

    @Parameter(
            names = "--operator",
            order = 82,
            description = "who does this, for the history (TAMARACKTRACK_OPERATOR; user name)")
    private String operator;

    LogClient log(Environment environment) {
        return environment.links().log(address(environment));
    }

    Patience patience(Environment environment) {
        String text =
                setting(environment, timeoutMillis, TIMEOUT_VARIABLE)
                        .orElse(Long.toString(DEFAULT_TIMEOUT_MILLIS));
        return TimedPatience.of(Numbers.whole("--timeout-millis", text, LONGEST_TIMEOUT_MILLIS));
    }

    String operator(Environment environment) {
        return setting(environment, operator, OPERATOR_VARIABLE)
                .or(() -> Optional.ofNullable(environment.variables().get("USER")))
                .orElse("unknown");
    }

    ConfigurationLog configuration(Environment environment) {
        ConfigurationLog configuration = ConfigurationLog.of(log(environment));
        configuration.readToEnd(patience(environment));
        return configuration;
    }

    ConfigurationInForce inForce(Environment environment) {
        return configuration(environment)
                .inForce()
                .orElseThrow(
                        () ->
                                TamaracktrackException.of(
                                        ErrorCode.NOT_FOUND,
                                        "no configuration was published yet; publish one with"
                                                + " `tamaracktrack publish FILE`"));
    }

    private InetSocketAddress address(Environment environment) {
        String text =
                setting(environment, address, ADDRESS_VARIABLE)
                        .orElseThrow(
                                () ->
                                        TamaracktrackException.of(
                                                ErrorCode.INVALID_SETTINGS,
                                                "the log's address is not given; use --log-address"
                                                        + " or TAMARACKTRACK_LOG_ADDRESS"));
        return Addresses.parse("--log-address", text);
    }

    private static Optional<String> setting(Environment environment, String flag, String variable) {
        return Optional.ofNullable(flag)
                .or(() -> Optional.ofNullable(environment.variables().get(variable)));
    }
}
