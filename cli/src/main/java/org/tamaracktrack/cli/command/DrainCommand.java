package org.tamaracktrack.cli.command;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.tamaracktrack.cli.ExitCode;
import org.tamaracktrack.cli.log.OwnershipLog;
import org.tamaracktrack.cli.log.Patience;
import org.tamaracktrack.cli.output.Output;
import org.tamaracktrack.cli.output.OutputFormat;
import org.tamaracktrack.core.error.ErrorCode;
import org.tamaracktrack.core.error.TamaracktrackException;
import org.tamaracktrack.core.id.TargetId;
import org.tamaracktrack.core.log.LogEntry.DrainRequested;
import org.tamaracktrack.core.log.LogStream;
import org.tamaracktrack.link.log.LogClient;

/** Asks a target to leave, or takes the request back. */
@Parameters(commandDescription = "ask a target to take no new work, or take the request back")
public final class DrainCommand extends LogCommand {
    @Parameter(required = true, description = "TARGET: the target's name")
    private List<String> targets = new ArrayList<>();

    @Parameter(names = "--cancel", order = 10, description = "let the target take work again")
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
        DrainRequested wanted = new DrainRequested(target, !cancel, log().operator(environment));
        request(log().log(environment), log().patience(environment), wanted);
        if (output.format() == OutputFormat.JSON) {
            output.json(Map.of("target", target.value(), "leaving", wanted.leaving()));
        }
        output.line(
                wanted.leaving()
                        ? target + " is asked to leave; `tamaracktrack status` shows when it is out"
                        : target + " may take work again");
        return ExitCode.OK;
    }

    private TargetId target(Environment environment) {
        if (targets.size() != 1 || targets.get(0).startsWith("--")) {
            throw TamaracktrackException.of(
                    ErrorCode.INVALID_SETTINGS, "give one TARGET, not " + targets);
        }
        TargetId target = TargetId.of(targets.get(0));
        if (!log().inForce(environment).configuration().targets().containsKey(target)) {
            throw TamaracktrackException.of(
                    ErrorCode.NOT_FOUND,
                    "no target " + target + " in force; `tamaracktrack status` lists them");
        }
        return target;
    }

    // The answer may be lost after the write. The newest request for a target is the one that
    // holds, so reading until it is the wanted one is enough, and a second one changes nothing.
    private static void request(LogClient client, Patience patience, DrainRequested wanted) {
        OwnershipLog ownership = OwnershipLog.of(client);
        boolean appended = false;
        while (true) {
            ownership.readToEnd(patience);
            boolean holds =
                    ownership
                            .drain(wanted.target())
                            .filter(newest -> newest.leaving() == wanted.leaving())
                            .isPresent();
            if (holds) {
                return;
            }
            if (appended && !patience.another()) {
                throw TamaracktrackException.of(
                        ErrorCode.LOG_OUTCOME_UNKNOWN, "the request was not read back");
            }
            appended |= append(client, patience, wanted);
        }
    }

    private static boolean append(LogClient client, Patience patience, DrainRequested wanted) {
        try {
            client.append(LogStream.OWNERSHIP, wanted);
            return true;
        } catch (TamaracktrackException failure) {
            if (!patience.another()) {
                throw failure;
            }
            return false;
        }
    }
}
