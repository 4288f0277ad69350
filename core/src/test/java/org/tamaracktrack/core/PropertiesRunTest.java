package org.tamaracktrack.core;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/**
 * A property in a nested class runs only if the class is a group of the property library as well.
 * Without that it is passed over in silence.
 */
class PropertiesRunTest {
    private static final Path MODULES = Path.of("..").toAbsolutePath().normalize();
    private static final Pattern NESTED =
            Pattern.compile(
                    "( {4}(?:@\\w+\\s+)*)class \\w+[^{]*\\{(.*?)\\n {4}\\}", Pattern.DOTALL);

    @Test
    void shouldFindEveryNestedClassWithPropertiesMarkedAsAGroup() throws IOException {
        try (Stream<Path> files = Files.walk(MODULES)) {
            List<Path> silent =
                    files.filter(file -> file.toString().endsWith("Test.java"))
                            .filter(PropertiesRunTest::hasSilentProperties)
                            .collect(Collectors.toList());

            assertThat(silent).isEmpty();
        }
    }

    private static boolean hasSilentProperties(Path file) {
        try {
            Matcher nested = NESTED.matcher(Files.readString(file));
            return nested.results()
                    .anyMatch(
                            found ->
                                    found.group(1).contains("@Nested")
                                            && !found.group(1).contains("@Group")
                                            && found.group(2).contains("@Property"));
        } catch (IOException unreadable) {
            throw new UncheckedIOException(unreadable);
        }
    }
}
