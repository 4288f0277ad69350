package org.tamaracktrack.cli.command;

import com.beust.jcommander.Parameter;
import java.net.InetSocketAddress;
import java.util.Optional;
import org.tamaracktrack.cli.log.BackoffTimer;
import org.tamaracktrack.cli.log.ConfigurationLog;
import org.tamaracktrack.cli.log.RetryTimer;
import org.tamaracktrack.core.config.ConfigurationInForce;
import org.tamaracktrack.core.error.ErrorCode;
import org.tamaracktrack.core.error.TamaracktrackException;
import org.tamaracktrack.link.log.LogClient;

/** Holds the options of the commands that read or write the log. */
final class LogOptions {
    private static final String ADDRESS_VARIABLE = "TAMARACKTRACK_LOG_ADDRESS";
    private static final String TIMEOUT_VARIABLE = "TAMARACKTRACK_TIMEOUT_MILLIS";
    private static final String OPERATOR_VARIABLE = "TAMARACKTRACK_OPERATOR";
    private static final long DEFAULT_TIMEOUT_MILLIS = 15_000;
    private static final long MAXIMUM_TIMEOUT_MILLIS = 3_600_000;

    @Parameter(
            names = "--log-address",
            order = 80,
            description = "IP address and port of the log (TAMARACKTRACK_LOG_ADDRESS)")
    private String address;

    @Parameter(
            names = "--timeout-millis",
            order = 81,
            description = "time limit for retries (TAMARACKTRACK_TIMEOUT_MILLIS; default: 15000)")
    private String timeoutMillis;

    @Parameter(
            names = "--operator",
            order = 82,
            description = "your name, for the history (TAMARACKTRACK_OPERATOR; default: $USER)")
    private String operator;

    LogClient logClient(Environment environment) {
        return environment.connections().logClient(address(environment));
    }

    RetryTimer retryTimer(Environment environment) {
        String text =
                setting(environment, timeoutMillis, TIMEOUT_VARIABLE)
                        .orElse(Long.toString(DEFAULT_TIMEOUT_MILLIS));
        return BackoffTimer.of(
                Numbers.parseWholeNumber("--timeout-millis", text, MAXIMUM_TIMEOUT_MILLIS));
    }

    String operator(Environment environment) {
        return setting(environment, operator, OPERATOR_VARIABLE)
                .or(() -> Optional.ofNullable(environment.variables().get("USER")))
                .orElse("unknown");
    }

    ConfigurationLog configuration(Environment environment) {
        ConfigurationLog configuration = ConfigurationLog.of(logClient(environment));
        configuration.readToEnd(retryTimer(environment));
        return configuration;
    }

    ConfigurationInForce inForce(Environment environment) {
        return configuration(environment)
                .inForce()
                .orElseThrow(
                        () ->
                                TamaracktrackException.of(
                                        ErrorCode.NOT_FOUND,
                                        "no configuration has been published; publish one with"
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
