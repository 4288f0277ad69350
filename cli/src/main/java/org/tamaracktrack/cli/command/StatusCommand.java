package org.tamaracktrack.cli.command;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import org.tamaracktrack.cli.ExitCode;
import org.tamaracktrack.cli.log.ConfigurationLog;
import org.tamaracktrack.cli.log.OwnershipLog;
import org.tamaracktrack.cli.log.RetryTimer;
import org.tamaracktrack.cli.log.StreamReader;
import org.tamaracktrack.cli.output.Output;
import org.tamaracktrack.cli.output.OutputFormat;
import org.tamaracktrack.cli.output.Table;
import org.tamaracktrack.core.config.Configuration.Target;
import org.tamaracktrack.core.config.ConfigurationInForce;
import org.tamaracktrack.core.lease.Duty;
import org.tamaracktrack.core.lease.Lease;
import org.tamaracktrack.core.log.LogEntry.DrainRequested;
import org.tamaracktrack.core.log.LogEntry.PlanPublished;
import org.tamaracktrack.core.log.LogStream;
import org.tamaracktrack.core.placement.PlanRegister;
import org.tamaracktrack.link.http.HttpCall;
import org.tamaracktrack.link.http.HttpCallException;
import org.tamaracktrack.link.log.LogClient;

/**
 * Prints the targets, duties and plan as recorded in the log, and the readiness of the entry
 * daemons.
 */
@Parameters(
        commandDescription = "show targets and their owners, duties, the plan, and entry daemons")
public final class StatusCommand extends LogCommand {
    private static final long ENTRY_TIMEOUT_MILLIS = 2_000;
    private static final int STATUS_OK = 200;

    @Parameter(
            names = "--entry",
            order = 10,
            description = "HTTP address of an entry daemon whose readiness to query; repeatable")
    private List<String> entries = new ArrayList<>();

    private record Plan(PlanRegister register, long newestRecordMillis) {}

    @Override
    public String name() {
        return "status";
    }

    @Override
    public List<String> examples() {
        return List.of(
                "tamaracktrack status",
                "tamaracktrack status --entry 10.0.0.1:8080 --entry 10.0.0.2:8080");
    }

    @Override
    public ExitCode run(Environment environment) {
        Output output = output(environment);
        LogClient client = logOptions().logClient(environment);
        RetryTimer timer = logOptions().retryTimer(environment);
        ConfigurationLog configuration = ConfigurationLog.of(client);
        configuration.readToEnd(timer);
        Optional<ConfigurationInForce> inForce = configuration.inForce();
        OwnershipLog ownership = OwnershipLog.of(client);
        ownership.readToEnd(timer);
        Plan plan = readPlan(client, timer);
        Map<String, Table> tables = new LinkedHashMap<>();
        tables.put("targets", targetTable(inForce, ownership));
        tables.put("duties", dutyTable(plan));
        if (!entries.isEmpty()) {
            tables.put("entries", entries(environment));
        }
        write(output, inForce, plan, tables);
        return ExitCode.OK;
    }

    private static void write(
            Output output,
            Optional<ConfigurationInForce> inForce,
            Plan plan,
            Map<String, Table> tables) {
        long version = inForce.map(ConfigurationInForce::version).orElse(-1L);
        if (output.format() == OutputFormat.JSON) {
            Map<String, Object> result = new LinkedHashMap<>();
            result.put("configurationVersion", version);
            result.put("planOffset", plan.register().inForceOffset());
            tables.forEach((name, table) -> result.put(name, table.asMaps()));
            output.json(result);
            return;
        }
        output.line(
                version < 0
                        ? "no configuration has been published"
                        : "configuration: version " + version);
        output.line(
                plan.register()
                        .inForce()
                        .map(found -> describe(found, plan.register().inForceOffset()))
                        .orElse("plan: none"));
        tables.values()
                .forEach(
                        table -> {
                            output.line("");
                            output.table(table);
                        });
    }

    private static String describe(PlanPublished plan, long offset) {
        return "plan: offset %d, %d copies, for configuration %d"
                .formatted(offset, plan.placements().size(), plan.configurationVersion());
    }

    private static Plan readPlan(LogClient client, RetryTimer timer) {
        PlanRegister register = PlanRegister.empty();
        AtomicLong newestRecordMillis = new AtomicLong();
        StreamReader.of(
                        client,
                        LogStream.PLAN,
                        record -> {
                            newestRecordMillis.accumulateAndGet(
                                    record.appendedAtMillis(), Math::max);
                            register.handle(record);
                        })
                .readToEnd(timer);
        return new Plan(register, newestRecordMillis.get());
    }

    private static Table targetTable(
            Optional<ConfigurationInForce> inForce, OwnershipLog ownership) {
        Table table =
                Table.of(
                        "target",
                        "kind",
                        "data centre",
                        "host",
                        "endpoint",
                        "owner",
                        "address",
                        "fencing",
                        "leaving");
        inForce.stream()
                .flatMap(found -> found.configuration().targets().values().stream())
                .sorted((left, right) -> left.id().compareTo(right.id()))
                .forEach(target -> addTarget(table, target, ownership));
        return table;
    }

    private static void addTarget(Table table, Target target, OwnershipLog ownership) {
        Optional<OwnershipLog.Owner> owner = ownership.owner(target.id());
        table.row(
                target.id(),
                target.kind(),
                target.dataCentre(),
                target.host(),
                target.endpoint(),
                owner.map(found -> found.record().owner().value()).orElse("none"),
                owner.map(found -> found.record().address()).orElse("-"),
                owner.map(OwnershipLog.Owner::fencing).orElse(-1L),
                ownership
                        .drain(target.id())
                        .filter(DrainRequested::leaving)
                        .map(drain -> "asked by " + drain.operator())
                        .orElse("no"));
    }

    private static Table dutyTable(Plan plan) {
        Table table = Table.of("duty", "holder", "term", "lease");
        Arrays.stream(Duty.values()).forEach(duty -> addDuty(table, plan, duty));
        return table;
    }

    // Compares the lease with the time of the newest record, since the clock of the operator's host
    // may differ from the clock of the log.
    private static void addDuty(Table table, Plan plan, Duty duty) {
        Optional<Lease> last = plan.register().leases().last(duty);
        table.row(
                duty.text(),
                last.map(lease -> lease.holder().value()).orElse("none"),
                last.map(Lease::term).orElse(-1L),
                last.map(
                                lease ->
                                        lease.isInForceAt(plan.newestRecordMillis())
                                                ? "in force"
                                                : "lapsed")
                        .orElse("-"));
    }

    private Table entries(Environment environment) {
        Table table = Table.of("entry", "ready");
        entries.forEach(entry -> table.row(entry, readiness(environment, entry)));
        return table;
    }

    private static String readiness(Environment environment, String entry) {
        InetSocketAddress address = Addresses.parse("--entry", entry);
        try {
            int status =
                    environment
                            .connections()
                            .httpCaller()
                            .call(HttpCall.get(address, "/readyz", ENTRY_TIMEOUT_MILLIS))
                            .status();
            return status == STATUS_OK ? "yes" : "no, status " + status;
        } catch (HttpCallException failure) {
            return "unreachable, " + failure.failure().text();
        }
    }
}
