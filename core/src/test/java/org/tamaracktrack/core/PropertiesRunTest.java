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
 * Checks that nested test classes with jqwik properties are annotated with {@code @Group}. Without
 * it jqwik skips their properties without a report.
 */
class PropertiesRunTest {
    private static final Path MODULES = Path.of("..").toAbsolutePath().normalize();
    private static final Pattern NESTED_CLASS =
            Pattern.compile(
                    "( {4}(?:@\\w+\\s+)*)class \\w+[^{]*\\{(.*?)\\n {4}\\}", Pattern.DOTALL);

    @Test
    void shouldFindAGroupAnnotationOnEveryNestedClassWithProperties() throws IOException {
        try (Stream<Path> files = Files.walk(MODULES)) {
            List<Path> filesWithUnexecutedProperties =
                    files.filter(file -> file.toString().endsWith("Test.java"))
                            .filter(PropertiesRunTest::hasUnexecutedProperties)
                            .collect(Collectors.toList());

            assertThat(filesWithUnexecutedProperties).isEmpty();
        }
    }

    private static boolean hasUnexecutedProperties(Path file) {
        try {
            Matcher nested = NESTED_CLASS.matcher(Files.readString(file));
            return nested.results()
                    .anyMatch(
                            found ->
                                    found.group(1).contains("@Nested")
                                            && !found.group(1).contains("@Group")
                                            && found.group(2).contains("@Property"));
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
    }
}
