package org.tamaracktrack.cli.command;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.tamaracktrack.cli.ExitCode;
import org.tamaracktrack.cli.log.OwnershipLog;
import org.tamaracktrack.cli.log.RetryTimer;
import org.tamaracktrack.cli.output.Output;
import org.tamaracktrack.cli.output.OutputFormat;
import org.tamaracktrack.core.error.ErrorCode;
import org.tamaracktrack.core.error.TamaracktrackException;
import org.tamaracktrack.core.id.TargetId;
import org.tamaracktrack.core.log.LogEntry.DrainRequested;
import org.tamaracktrack.core.log.LogStream;
import org.tamaracktrack.link.log.LogClient;

/** Requests that a target be drained, or cancels the request. */
@Parameters(
        commandDescription =
                "drain a target, so that it takes no new requests, or cancel its drain")
public final class DrainCommand extends LogCommand {
    @Parameter(required = true, description = "TARGET: the target's name")
    private List<String> targets = new ArrayList<>();

    @Parameter(
            names = "--cancel",
            order = 10,
            description = "cancel the drain, so that the target takes requests again")
    private boolean cancel;

    @Override
    public String name() {
        return "drain";
    }

    @Override
    public List<String> examples() {
        return List.of("tamaracktrack drain engine-1", "tamaracktrack drain engine-1 --cancel");
    }

    @Override
    public ExitCode run(Environment environment) {
        Output output = output(environment);
        TargetId target = target(environment);
        DrainRequested request =
                new DrainRequested(target, !cancel, logOptions().operator(environment));
        appendAndConfirm(
                logOptions().logClient(environment), logOptions().retryTimer(environment), request);
        if (output.format() == OutputFormat.JSON) {
            output.json(Map.of("target", target.value(), "leaving", request.leaving()));
        }
        output.line(
                request.leaving()
                        ? target + " is requested to drain; see `tamaracktrack status`"
                        : target + " may take requests again");
        return ExitCode.OK;
    }

    private TargetId target(Environment environment) {
        if (targets.size() != 1 || targets.get(0).startsWith("--")) {
            throw TamaracktrackException.of(
                    ErrorCode.INVALID_SETTINGS, "give one TARGET, not " + targets);
        }
        TargetId target = TargetId.of(targets.get(0));
        if (!logOptions().inForce(environment).configuration().targets().containsKey(target)) {
            throw TamaracktrackException.of(
                    ErrorCode.NOT_FOUND,
                    "no target "
                            + target
                            + " in the configuration in force; `tamaracktrack status`"
                            + " lists the targets");
        }
        return target;
    }

    // The response to an append may be lost after the record was written. The newest drain request
    // of a target is in force, so it is enough to read until the newest one is the requested one. A
    // duplicate record has no effect.
    private static void appendAndConfirm(
            LogClient client, RetryTimer timer, DrainRequested request) {
        OwnershipLog ownership = OwnershipLog.of(client);
        boolean appended = false;
        while (true) {
            ownership.readToEnd(timer);
            boolean holds =
                    ownership
                            .drain(request.target())
                            .filter(newest -> newest.leaving() == request.leaving())
                            .isPresent();
            if (holds) {
                return;
            }
            if (appended && !timer.awaitNextAttempt()) {
                throw TamaracktrackException.of(
                        ErrorCode.LOG_OUTCOME_UNKNOWN,
                        "the drain request may have been written, but was not read back in time");
            }
            appended |= append(client, timer, request);
        }
    }

    private static boolean append(LogClient client, RetryTimer timer, DrainRequested request) {
        try {
            client.append(LogStream.OWNERSHIP, request);
            return true;
        } catch (TamaracktrackException failure) {
            if (!timer.awaitNextAttempt()) {
                throw failure;
            }
            return false;
        }
    }
}
