package org.tamaracktrack.daemon.settings;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class SettingsParserTest {
    private static final List<String> ENTRY_FLAGS =
            List.of(
                    "--role=entry",
                    "--host=host-1",
                    "--data-centre=quito-1",
                    "--http-address=127.0.0.1:0",
                    "--peer-address=127.0.0.1:0",
                    "--log-address=127.0.0.1:9000",
                    "--shared-secret=a-long-secret");

    private static SettingsParser.Result parse(
            Map<String, String> environment, String... extraArguments) {
        List<String> arguments = new ArrayList<>();
        ENTRY_FLAGS.stream()
                .flatMap(flag -> List.of(flag.split("=", 2)).stream())
                .forEach(arguments::add);
        arguments.addAll(List.of(extraArguments));
        return SettingsParser.parse(arguments.toArray(String[]::new), environment);
    }

    private static Settings valid(SettingsParser.Result result) {
        assertThat(result).isInstanceOf(SettingsParser.Valid.class);
        return ((SettingsParser.Valid) result).settings().settings();
    }

    private static List<String> problems(SettingsParser.Result result) {
        return ((SettingsParser.Invalid) result).problems();
    }

    @Test
    void shouldParseFlags() {
        Settings settings = valid(parse(Map.of(), "--peers", "127.0.0.1:1,127.0.0.1:2"));

        assertThat(settings.role()).isEqualTo(Settings.Role.ENTRY);
        assertThat(settings.peers()).hasSize(2);
        assertThat(settings.drainMillis()).isEqualTo(30_000);
    }

    @Test
    void shouldPreferTheFlagWhenTheEnvironmentVariableDiffers() {
        Map<String, String> environment =
                Map.of(
                        "TAMARACKTRACK_DRAIN_MILLIS", "7000",
                        "TAMARACKTRACK_REPORT_MILLIS", "800");

        Settings settings = valid(parse(environment, "--drain-millis", "9000"));

        assertThat(settings.drainMillis()).isEqualTo(9_000);
        assertThat(settings.reportMillis()).isEqualTo(800);
    }

    @Test
    void shouldOmitTheSharedSecretFromTheDescription() {
        SettingsParser.Valid result = (SettingsParser.Valid) parse(Map.of());

        assertThat(result.settings().describe()).doesNotContain("a-long-secret");
    }

    @Nested
    class Problems {
        @Test
        void shouldReportAllProblemsTogetherWhenSeveralSettingsAreInvalid() {
            SettingsParser.Result result =
                    SettingsParser.parse(
                            new String[] {
                                "--role", "both",
                                "--log-address", "localhost:9000",
                                "--drain-millis", "soon",
                                "--shared-secret", "short",
                                "--colour", "red"
                            },
                            Map.of("TAMARACKTRACK_ROLL", "entry"));

            String allProblems = String.join("\n", problems(result));
            assertThat(allProblems).contains("--role is wrong");
            assertThat(allProblems).contains("--log-address is wrong: found localhost:9000");
            assertThat(allProblems).contains("--drain-millis is wrong");
            assertThat(allProblems).contains("--shared-secret is wrong: found (not shown)");
            assertThat(allProblems).contains("--host is missing");
            assertThat(allProblems).contains("--colour");
            assertThat(allProblems).contains("TAMARACKTRACK_ROLL");
            assertThat(allProblems).doesNotContain("short\n");
        }

        @Test
        void shouldRejectSettingsThatContradictEachOther() {
            assertThat(problems(parse(Map.of(), "--target", "engine-1")).get(0))
                    .contains("--target contradicts --role entry");
            assertThat(
                            problems(
                                            parse(
                                                    Map.of(),
                                                    "--drain-millis",
                                                    "1000",
                                                    "--balancer-lag-millis",
                                                    "1000"))
                                    .get(0))
                    .contains("--balancer-lag-millis must be less");
        }
    }
}
