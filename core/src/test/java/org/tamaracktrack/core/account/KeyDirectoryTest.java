package org.tamaracktrack.core.account;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.tamaracktrack.core.error.ErrorCode;
import org.tamaracktrack.core.error.TamaracktrackException;

class KeyDirectoryTest {

    private static KeyDirectory<String> directory(Map<String, Set<String>> keysByAccount) {
        return KeyDirectory.of(
                List.copyOf(keysByAccount.keySet()),
                account ->
                        keysByAccount.get(account).stream()
                                .map(KeyDigest::ofKey)
                                .collect(Collectors.toSet()));
    }

    @Nested
    class Find {

        @Test
        void shouldFindAccountByAnyOfItsKeys() {
            KeyDirectory<String> directory =
                    directory(Map.of("north", Set.of("k1", "k2"), "south", Set.of("k3")));

            assertThat(directory.find(KeyDigest.ofKey("k2"))).hasValue("north");
            assertThat(directory.find(KeyDigest.ofKey("k3"))).hasValue("south");
            assertThat(directory.conflicting()).isEmpty();
        }

        // Guards against the callers of one account acting as another that claims the same key.
        @Test
        void shouldAuthenticateNobodyWhenTwoAccountsClaimTheKey() {
            KeyDirectory<String> directory =
                    directory(
                            Map.of(
                                    "north", Set.of("k1", "shared"),
                                    "south", Set.of("shared"),
                                    "west", Set.of("shared", "k4")));

            assertThat(directory.find(KeyDigest.ofKey("shared"))).isEmpty();
            assertThat(directory.find(KeyDigest.ofKey("k1"))).hasValue("north");
            assertThat(directory.conflicting()).containsExactly("north", "south", "west");
        }
    }

    @Nested
    class Digest {

        @Test
        void shouldNotPrintKeyOrDigest() {
            KeyDigest digest = KeyDigest.ofKey("k1");

            assertThat(digest.toString()).doesNotContain("k1");
            assertThat(digest.toString()).doesNotContain(digest.hexadecimal());
        }

        @Test
        void shouldRejectTextThatIsNoDigest() {
            TamaracktrackException failure =
                    assertThrows(TamaracktrackException.class, () -> KeyDigest.of("k1"));

            assertThat(failure.code()).isEqualTo(ErrorCode.BAD_IDENTIFIER);
        }
    }
}
