package org.tamaracktrack.core.account;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Group;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class BearerTokenTest {
    private static final String KEY = "sample-key";
    private static final KeyDirectory<String> DIRECTORY =
            KeyDirectory.of(List.of("north"), account -> Set.of(KeyDigest.ofKey(KEY)));

    private static Optional<String> account(List<String> headerValues) {
        return BearerToken.parse(headerValues).flatMap(DIRECTORY::find);
    }

    @Nested
    class WellFormed {

        @ParameterizedTest
        @ValueSource(
                strings = {
                    "Bearer sample-key",
                    "bearer sample-key",
                    "BEARER   sample-key",
                    "Bearer sample-key "
                })
        void shouldFindAccountWhenKeyIsKnown(String header) {
            assertThat(account(List.of(header))).hasValue("north");
        }

        @Test
        void shouldFindNoAccountWhenKeyIsUnknown() {
            List<String> values = List.of("Bearer other-key");

            assertThat(account(values)).isEmpty();
            assertThat(BearerToken.describeRejected(values)).isEqualTo("unknown_key");
        }
    }

    @Group
    @Nested
    class Malformed {

        @Test
        void shouldFindNoAccountWhenHeaderIsMissingOrRepeated() {
            assertThat(account(List.of())).isEmpty();
            assertThat(account(List.of("Bearer sample-key", "Bearer sample-key"))).isEmpty();
            assertThat(BearerToken.describeRejected(List.of())).isEqualTo("missing");
            assertThat(BearerToken.describeRejected(List.of("a", "b"))).isEqualTo("repeated");
            assertThat(BearerToken.describeRejected(List.of("Basic x"))).isEqualTo("malformed");
        }

        // Guards against a header that is not exactly one key being taken for a known key.
        @Property(seed = "4101", tries = 12_000)
        void shouldFindNoAccountUnlessHeaderIsExactlyTheKey(@ForAll("headers") String header) {
            boolean exact = header.strip().matches("(?i:bearer) +sample-key");

            assertThat(account(List.of(header)).isPresent()).isEqualTo(exact);
        }

        @Provide
        Arbitrary<String> headers() {
            Arbitrary<String> piece =
                    Arbitraries.of(
                            "Bearer",
                            "bearer",
                            "Basic",
                            " ",
                            "  ",
                            "\t",
                            "\u00a0",
                            ",",
                            ";",
                            "=",
                            KEY,
                            "sample",
                            "-key",
                            "SAMPLE-KEY",
                            "\u0000",
                            "\r\n",
                            "\"",
                            "%20");
            return piece.list().ofMaxSize(6).map(pieces -> String.join("", pieces));
        }

        @Property(seed = "4102", tries = 3_000)
        void shouldFindNoAccountWhenHeaderIsArbitrary(@ForAll List<String> values) {
            assertThat(account(values)).isEmpty();
        }
    }
}
