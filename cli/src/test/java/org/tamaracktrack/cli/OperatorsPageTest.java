package org.tamaracktrack.cli;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.tamaracktrack.core.config.ProblemKind;
import org.tamaracktrack.core.config.WarningKind;
import org.tamaracktrack.core.error.ErrorCode;

class OperatorsPageTest {
    private static List<String> lines(String page) throws IOException {
        return Files.readAllLines(Path.of("../docs", page));
    }

    private static boolean hasRow(List<String> lines, ErrorCode code) {
        String row =
                "| `%s` | %d | %s |"
                        .formatted(code, code.status(), code.ran().name().toLowerCase(Locale.ROOT));
        return hasRow(lines, row);
    }

    private static boolean hasRow(List<String> lines, String start) {
        return lines.stream().anyMatch(line -> line.startsWith(start));
    }

    @Test
    void shouldListEveryErrorCodeWithItsStatus() throws IOException {
        List<String> lines = lines("OPERATORS.md");

        assertThat(Arrays.stream(ErrorCode.values()).filter(code -> !hasRow(lines, code)).toList())
                .isEmpty();
    }

    @Test
    void shouldListEveryExitCode() throws IOException {
        List<String> lines = lines("OPERATORS.md");

        assertThat(
                        Arrays.stream(ExitCode.values())
                                .filter(code -> !hasRow(lines, "| " + code.number() + " |"))
                                .toList())
                .isEmpty();
    }

    @Test
    void shouldListEveryKindOfProblemAndWarning() throws IOException {
        List<String> lines = lines("CONFIGURATION.md");

        assertThat(
                        Stream.concat(
                                        Arrays.stream(ProblemKind.values()),
                                        Arrays.stream(WarningKind.values()))
                                .filter(kind -> !hasRow(lines, "| `" + kind + "`"))
                                .toList())
                .isEmpty();
    }
}
