package org.tamaracktrack.cli.command;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.tamaracktrack.cli.ExitCode;
import org.tamaracktrack.cli.log.ConfigurationLog;
import org.tamaracktrack.cli.log.Publisher;
import org.tamaracktrack.cli.log.RetryTimer;
import org.tamaracktrack.cli.output.Output;
import org.tamaracktrack.cli.output.OutputFormat;
import org.tamaracktrack.core.config.ConfigurationEvent;
import org.tamaracktrack.core.config.ConfigurationInForce;
import org.tamaracktrack.core.config.ConfigurationReader;
import org.tamaracktrack.core.config.ConfigurationReading;
import org.tamaracktrack.core.config.Warning;
import org.tamaracktrack.core.id.PublicationId;
import org.tamaracktrack.core.log.LogEntry.Publication;
import org.tamaracktrack.link.codec.ConfigurationDocuments;
import org.tamaracktrack.link.log.LogClient;

/** Publishes a document, reads the outcome back from the log, and prints it. */
@Parameters(commandDescription = "publish a document, and read the outcome back from the log")
public final class PublishCommand extends LogCommand {
    private static final String BASED_ON = "--based-on";

    @ParametersDelegate private final DocumentOptions document = new DocumentOptions();

    @Parameter(
            names = BASED_ON,
            order = 11,
            description =
                    "the version that the document is based on, as printed by `show`; default:"
                            + " the version in force")
    private String basedOn;

    @Parameter(names = "--note", order = 12, description = "the reason, for the history")
    private String note = "";

    @Parameter(
            names = "--publication",
            order = 13,
            description = "the identifier of an earlier attempt whose outcome is unknown")
    private String publication;

    @Override
    public String name() {
        return "publish";
    }

    @Override
    public List<String> examples() {
        return List.of(
                "tamaracktrack publish configuration.yaml --note 'more room for batch'",
                "tamaracktrack publish configuration.yaml --based-on 41",
                "tamaracktrack publish configuration.yaml --parameter engineOne=10.0.0.1:8000");
    }

    @Override
    public ExitCode run(Environment environment) {
        Output output = output(environment);
        Map<String, Object> tree = document.document();
        if (ConfigurationReader.read(tree) instanceof ConfigurationReading.Rejected rejected) {
            ValidationOutput.writeProblems(output, rejected.problems());
            return ExitCode.INVALID;
        }
        LogClient client = logOptions().logClient(environment);
        RetryTimer timer = logOptions().retryTimer(environment);
        ConfigurationLog configuration = ConfigurationLog.of(client);
        configuration.readToEnd(timer);
        Publication proposal = publication(environment, configuration, tree);
        ConfigurationEvent outcome = Publisher.of(client, configuration, timer).publish(proposal);
        return report(output, proposal, outcome);
    }

    private Publication publication(
            Environment environment, ConfigurationLog configuration, Map<String, Object> tree) {
        long inForce = configuration.inForce().map(ConfigurationInForce::version).orElse(-1L);
        long baseVersion =
                Optional.ofNullable(basedOn)
                        .filter(text -> !text.equals("-1"))
                        .map(text -> Numbers.parseWholeNumber(BASED_ON, text, Long.MAX_VALUE))
                        .orElse(basedOn == null ? inForce : -1);
        PublicationId id =
                Optional.ofNullable(publication)
                        .map(PublicationId::of)
                        .orElseGet(environment.newPublicationIds());
        return new Publication(
                id,
                baseVersion,
                ConfigurationDocuments.canonicalJson(tree),
                logOptions().operator(environment),
                note);
    }

    private static ExitCode report(
            Output output, Publication proposal, ConfigurationEvent outcome) {
        if (outcome instanceof ConfigurationEvent.Accepted accepted) {
            return accepted(output, proposal, accepted);
        }
        if (outcome instanceof ConfigurationEvent.Superseded superseded) {
            return superseded(output, proposal, superseded);
        }
        ValidationOutput.writeProblems(output, ((ConfigurationEvent.Invalid) outcome).problems());
        return ExitCode.INVALID;
    }

    private static ExitCode accepted(
            Output output, Publication proposal, ConfigurationEvent.Accepted accepted) {
        List<Warning> warnings = accepted.warnings();
        if (output.format() == OutputFormat.TABLE) {
            if (!warnings.isEmpty()) {
                output.table(ValidationOutput.warningTable(warnings));
            }
            output.line(
                    "accepted: version %d, publication %s, %d warnings"
                            .formatted(
                                    accepted.record().offset(),
                                    proposal.publication(),
                                    warnings.size()));
            return ExitCode.OK;
        }
        output.json(
                result(
                        proposal,
                        "accepted",
                        Map.of(
                                "version",
                                accepted.record().offset(),
                                "warnings",
                                ValidationOutput.warningTable(warnings).asMaps())));
        return ExitCode.OK;
    }

    private static ExitCode superseded(
            Output output, Publication proposal, ConfigurationEvent.Superseded superseded) {
        output.line(
                "superseded: version %d came first and this publication is based on version %d;"
                                .formatted(superseded.versionInForce(), proposal.basedOn())
                        + " see what changed with `tamaracktrack diff FILE`, merge the changes into"
                        + " the file, and publish again");
        if (output.format() != OutputFormat.TABLE) {
            output.json(
                    result(
                            proposal,
                            "superseded",
                            Map.of("versionInForce", superseded.versionInForce())));
        }
        return ExitCode.SUPERSEDED;
    }

    private static Map<String, Object> result(
            Publication proposal, String outcome, Map<String, Object> details) {
        Map<String, Object> result = new LinkedHashMap<>(details);
        result.put("outcome", outcome);
        result.put("publication", proposal.publication().value());
        result.put("basedOn", proposal.basedOn());
        return result;
    }
}
