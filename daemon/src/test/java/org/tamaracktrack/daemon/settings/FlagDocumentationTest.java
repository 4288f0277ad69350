package org.tamaracktrack.daemon.settings;

import static com.google.common.truth.Truth.assertThat;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.ParameterDescription;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;

class FlagDocumentationTest {

    @Test
    void shouldFindEveryFlagInTheOperatorDocumentation() throws IOException {
        String documentation = Files.readString(Path.of("../docs/OPERATORS.md"));

        assertThat(
                        new JCommander(new DaemonFlags())
                                .getParameters().stream()
                                        .map(ParameterDescription::getLongestName)
                                        .filter(flag -> !documentation.contains("`" + flag + "`"))
                                        .toList())
                .isEmpty();
    }
}
