package org.tamaracktrack.cli;

import static com.google.common.truth.Truth.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.tamaracktrack.cli.command.Connections;
import org.tamaracktrack.cli.command.Environment;
import org.tamaracktrack.cli.log.FakeLog;
import org.tamaracktrack.core.error.ErrorCode;
import org.tamaracktrack.core.error.TamaracktrackException;
import org.tamaracktrack.core.id.DataCentreId;
import org.tamaracktrack.core.id.HostId;
import org.tamaracktrack.core.id.IncarnationId;
import org.tamaracktrack.core.id.PublicationId;
import org.tamaracktrack.core.id.TargetId;
import org.tamaracktrack.core.log.LogEntry;
import org.tamaracktrack.core.log.LogStream;
import org.tamaracktrack.link.http.HttpCaller;
import org.tamaracktrack.link.log.LogClient;

class CommandLineTest {
    private static final String SAMPLE = "../docs/sample-configuration.yaml";

    private final FakeLog log = new FakeLog();
    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final ByteArrayOutputStream errors = new ByteArrayOutputStream();
    private final AtomicInteger publications = new AtomicInteger();
    @TempDir private Path directory;

    private final class FakeConnections implements Connections {
        @Override
        public LogClient logClient(InetSocketAddress address) {
            return log;
        }

        @Override
        public HttpCaller httpCaller() {
            throw TamaracktrackException.of(ErrorCode.INTERNAL, "no HTTP in this test");
        }

        @Override
        public void close() {}
    }

    private ExitCode run(String... arguments) {
        out.reset();
        errors.reset();
        Environment environment =
                new Environment(
                        Map.of(
                                "TAMARACKTRACK_LOG_ADDRESS",
                                "127.0.0.1:1",
                                "TAMARACKTRACK_TIMEOUT_MILLIS",
                                "50"),
                        new PrintStream(out, true, StandardCharsets.UTF_8),
                        new PrintStream(errors, true, StandardCharsets.UTF_8),
                        new FakeConnections(),
                        () -> PublicationId.of("p-" + publications.getAndIncrement()));
        return CommandLine.of(environment).run(arguments);
    }

    private String output() {
        return out.toString(StandardCharsets.UTF_8);
    }

    private String errors() {
        return errors.toString(StandardCharsets.UTF_8);
    }

    private String changed(String from, String to) throws IOException {
        Path file = directory.resolve("changed.yaml");
        Files.writeString(file, Files.readString(Path.of(SAMPLE)).replace(from, to));
        return file.toString();
    }

    @Nested
    class Help {
        @Test
        void shouldListCommandsAndExitCodesWhenHelpIsRequested() {
            assertThat(run("--help")).isEqualTo(ExitCode.OK);
            assertThat(output()).contains("publish");
            assertThat(output()).contains("3  another publication came first");
        }

        @Test
        void shouldShowExamplesWhenHelpOfACommandIsRequested() {
            assertThat(run("publish", "--help")).isEqualTo(ExitCode.OK);
            assertThat(output()).contains("tamaracktrack publish configuration.yaml");
        }

        @Test
        void shouldReferToTheHelpWhenTheCommandLineIsInvalid() {
            assertThat(run("publish", "--colour")).isEqualTo(ExitCode.USAGE);
            assertThat(errors()).contains("see `tamaracktrack --help`");
        }
    }

    @Nested
    class Validate {
        @Test
        void shouldAcceptTheSampleDocument() {
            assertThat(run("validate", SAMPLE)).isEqualTo(ExitCode.OK);
        }

        @Test
        void shouldListEveryProblemWhenThereAreSeveral() throws IOException {
            String file = changed("memoryMebibytes: 8192", "memoryMebibytes: much");

            assertThat(run("validate", file, "--output", "csv")).isEqualTo(ExitCode.INVALID);
            assertThat(output().lines().count()).isEqualTo(6);
        }

        @Test
        void shouldRejectTheDocumentWhenAKeyIsDuplicated() throws IOException {
            String file = changed("moveCost: 0.5", "moveCost: 0.5\nmoveCost: 9");

            assertThat(run("validate", file)).isEqualTo(ExitCode.INVALID);
            assertThat(errors()).contains("Duplicate field 'moveCost'");
        }

        @Test
        void shouldApplyParametersOfTheCommandLine() {
            assertThat(run("validate", SAMPLE, "--parameter", "engineOne=here"))
                    .isEqualTo(ExitCode.INVALID);
            assertThat(run("validate", SAMPLE, "--parameter", "engineNine=10.0.0.1:1"))
                    .isEqualTo(ExitCode.USAGE);
        }
    }

    @Nested
    class Publish {
        @Test
        void shouldPrintTheVersionWhenAccepted() {
            assertThat(run("publish", SAMPLE)).isEqualTo(ExitCode.OK);
            assertThat(output()).contains("accepted: version 0, publication p-0, 1 warnings");
        }

        @Test
        void shouldPrintTheNextStepWhenSuperseded() {
            run("publish", SAMPLE);

            assertThat(run("publish", SAMPLE, "--based-on", "-1")).isEqualTo(ExitCode.SUPERSEDED);
            assertThat(errors()).contains("version 0 is in force");
            assertThat(errors()).contains("`tamaracktrack diff FILE`");
        }

        @Test
        void shouldReportLogUnavailableWhenTheLogCannotBeRead() {
            log.setReadable(false);

            assertThat(run("publish", SAMPLE)).isEqualTo(ExitCode.LOG_UNAVAILABLE);
        }
    }

    @Nested
    class ReadingTheLog {
        @Test
        void shouldShowADocumentThatCanBePublishedAgain() throws IOException {
            run("publish", SAMPLE);
            assertThat(run("show")).isEqualTo(ExitCode.OK);
            Path file = directory.resolve("shown.yaml");
            Files.writeString(file, output());

            assertThat(run("diff", file.toString())).isEqualTo(ExitCode.OK);
            assertThat(run("publish", file.toString())).isEqualTo(ExitCode.OK);
        }

        @Test
        void shouldListDifferences() throws IOException {
            run("publish", SAMPLE);
            String file = changed("moveCost: 0.5", "moveCost: 2");

            assertThat(run("diff", file, "--output", "json")).isEqualTo(ExitCode.DIFFERENT);
            assertThat(output().strip())
                    .isEqualTo("[{\"file\":\"2\",\"in force\":\"0.5\",\"path\":\"moveCost\"}]");
        }

        @Test
        void shouldListTheHistoryWithItsOutcomes() {
            run("publish", SAMPLE, "--note", "first");
            log.enqueueFaults(List.of(FakeLog.Fault.WRITTEN_LATE));
            run("publish", SAMPLE, "--operator", "rosa");

            assertThat(run("history", "--output", "csv")).isEqualTo(ExitCode.OK);
            List<String> lines = output().lines().toList();
            assertThat(lines).hasSize(4);
            assertThat(lines.get(2)).contains("accepted,0,rosa");
            assertThat(lines.get(3)).contains("doubled,0,rosa");
        }

        @Test
        void shouldListTheHistoryAsJson() {
            run("publish", SAMPLE);

            assertThat(run("history", "--output", "json")).isEqualTo(ExitCode.OK);
            assertThat(output()).contains("\"time\":\"1970-01-01T00:00:01Z\"");
            assertThat(output()).contains("\"offset\":0");
        }

        @Test
        void shouldReportNotFoundWhenTheLogIsEmpty() {
            assertThat(run("show")).isEqualTo(ExitCode.NOT_FOUND);
            assertThat(errors()).contains("tamaracktrack publish FILE");
        }

        @Test
        void shouldReportNotFoundWhenRecordsExpiredWithoutASnapshot() {
            run("publish", SAMPLE);
            log.expireBefore(1);

            assertThat(run("show")).isEqualTo(ExitCode.NOT_FOUND);
            assertThat(errors()).contains("expired");
        }
    }

    @Nested
    class Reports {
        private void writeCounters(
                String process, long sequence, boolean last, Map<String, Long> sums) {
            log.write(
                    LogStream.REPORTS,
                    new LogEntry.CountersPublished(
                            IncarnationId.of(process),
                            "entry",
                            sequence,
                            500,
                            900 + sequence,
                            last,
                            sums));
        }

        @Test
        void shouldSumCountersOfAllProcessesAndPrintThePeriod() {
            Map<String, Long> counters =
                    Map.of(
                            "requests|store|reader|fast|offered",
                            10L,
                            "requests|store|reader|fast|in_class",
                            7L,
                            "requests|store|reader|fast|refused:OVERLOADED",
                            1L,
                            "requests|store|reader|fast|cancelled",
                            2L,
                            "tokens|store|reader|fast|prompt",
                            30L);
            writeCounters("entry-1", 1, true, counters);
            writeCounters("entry-2", 1, true, counters);
            writeCounters("entry-2", 1, true, counters);

            assertThat(run("report", "--output", "csv")).isEqualTo(ExitCode.OK);

            assertThat(output().lines().toList().get(1))
                    .isEqualTo("store,reader,fast,20,14,0,2,0,0,4,0,60,0,87.5%,OVERLOADED:2");
            assertThat(errors()).contains("complete");
            assertThat(run("report", "--account", "other", "--output", "csv"))
                    .isEqualTo(ExitCode.OK);
            assertThat(output().lines().count()).isEqualTo(1);
        }

        @Test
        void shouldPrintNotCompleteWhenAProcessStoppedReporting() {
            writeCounters("entry-1", 1, false, Map.of("requests|store|reader|fast|offered", 10L));
            log.advanceClock(400_000);
            writeCounters("entry-2", 1, false, Map.of());
            log.advanceClock(9_000);
            LongStream.range(2, 30)
                    .forEach(
                            sequence -> {
                                log.advanceClock(9_000);
                                writeCounters("entry-2", sequence, false, Map.of());
                            });

            assertThat(run("report")).isEqualTo(ExitCode.OK);
            assertThat(output()).contains("NOT complete");
            assertThat(output()).contains("missing: entry-1");
        }

        @Test
        void shouldListMovesByTargetKindAndCause() {
            writeCounters("target-1", 1, true, Map.of("moves|engine-1|load_model|home", 4L));

            assertThat(run("moves", "--output", "csv")).isEqualTo(ExitCode.OK);
            assertThat(output().lines().toList().get(1)).isEqualTo("engine-1,load_model,home,4");
        }
    }

    @Nested
    class Targets {
        @Test
        void shouldShowOwnersAndDrainRequests() {
            run("publish", SAMPLE);
            log.write(
                    LogStream.OWNERSHIP,
                    new LogEntry.OwnershipTaken(
                            TargetId.of("engine-1"),
                            IncarnationId.of("target-host-1-a"),
                            HostId.of("host-1"),
                            DataCentreId.of("quito-1"),
                            "10.0.0.1:7000",
                            0));
            run("drain", "engine-1", "--operator", "rosa");

            assertThat(run("status", "--output", "json")).isEqualTo(ExitCode.OK);

            assertThat(output()).contains("\"address\":\"10.0.0.1:7000\"");
            assertThat(output()).contains("\"leaving\":\"asked by rosa\"");
            assertThat(output()).contains("\"configurationVersion\":0");
        }

        @Test
        void shouldAppendTheDrainRequestOnceWhenTheResponseWasLost() {
            run("publish", SAMPLE);
            log.enqueueFaults(List.of(FakeLog.Fault.ANSWER_LOST));

            assertThat(run("drain", "engine-1")).isEqualTo(ExitCode.OK);
            assertThat(log.records(LogStream.OWNERSHIP)).hasSize(1);
            assertThat(run("drain", "engine-1", "--cancel")).isEqualTo(ExitCode.OK);
            assertThat(log.records(LogStream.OWNERSHIP)).hasSize(2);
        }

        @Test
        void shouldReportNotFoundWhenTheTargetDoesNotExist() {
            run("publish", SAMPLE);

            assertThat(run("drain", "engine-9")).isEqualTo(ExitCode.NOT_FOUND);
            assertThat(errors()).contains("no target engine-9");
        }
    }
}
