package org.tamaracktrack.core.route;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.stream.Collectors;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Group;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.tamaracktrack.core.account.Account;
import org.tamaracktrack.core.account.AccountDirectory;
import org.tamaracktrack.core.account.KeyDigest;
import org.tamaracktrack.core.error.ErrorCode;
import org.tamaracktrack.core.id.ClientAccountId;
import org.tamaracktrack.core.id.ServiceId;

class RequestAuthorizationTest {
    private static final ServiceId ENGINES = ServiceId.of("engines");
    private static final ServiceId OTHER = ServiceId.of("other");

    private static Account account(String name, String... keys) {
        return new Account(
                ClientAccountId.of(name),
                Set.of(keys).stream().map(KeyDigest::ofKey).collect(Collectors.toSet()),
                OptionalInt.empty(),
                Optional.empty());
    }

    private static ServingConfiguration configuration(
            boolean isPublic, ServiceId service, AccountDirectory accounts) {
        Route route =
                new Route(
                        "stream",
                        "example",
                        "/stream/",
                        RouteKind.STREAMING,
                        false,
                        1_000,
                        100,
                        0,
                        1,
                        isPublic,
                        List.of(new WeightedService(service, 1)));
        return new ServingConfiguration(
                1, RouteTable.of(List.of(route)), Map.of(), new RequestLimits(100), accounts);
    }

    private static RequestAuthorization.Origin origin(String key) {
        return new RequestAuthorization.Origin(
                "example", "/stream/1", Optional.ofNullable(key).map(KeyDigest::ofKey));
    }

    @Nested
    class OnArrival {
        private final AccountDirectory accounts =
                AccountDirectory.of(List.of(account("north", "k1")));

        @Test
        void shouldNameAccountOfKey() {
            RequestAuthorization authorization =
                    RequestAuthorization.of(
                            configuration(false, ENGINES, accounts), origin("k1"), true);

            assertThat(authorization.refusal()).isEmpty();
            assertThat(authorization.account().orElseThrow().id())
                    .isEqualTo(ClientAccountId.of("north"));
        }

        @Test
        void shouldRefuseUnknownAndMissingKeys() {
            ServingConfiguration configuration = configuration(false, ENGINES, accounts);

            assertThat(RequestAuthorization.of(configuration, origin("k2"), true).refusal())
                    .hasValue(ErrorCode.UNAUTHENTICATED);
            assertThat(RequestAuthorization.of(configuration, origin(null), true).refusal())
                    .hasValue(ErrorCode.UNAUTHENTICATED);
        }

        @Test
        void shouldNeedNoKeyOnPublicRouteOrWithoutAccounts() {
            assertThat(
                            RequestAuthorization.of(
                                            configuration(true, ENGINES, accounts),
                                            origin(null),
                                            true)
                                    .refusal())
                    .isEmpty();
            assertThat(
                            RequestAuthorization.of(
                                            configuration(false, ENGINES, AccountDirectory.empty()),
                                            origin(null),
                                            false)
                                    .refusal())
                    .isEmpty();
        }

        // Guards against open access when every account of a configuration is invalid.
        @Test
        void shouldRequireKeyWhenNoAccountIsValid() {
            assertThat(
                            RequestAuthorization.of(
                                            configuration(
                                                    false, ENGINES, AccountDirectory.of(List.of())),
                                            origin("k1"),
                                            true)
                                    .refusal())
                    .hasValue(ErrorCode.UNAUTHENTICATED);
        }

        // Guards against accepting a removed key on a daemon that receives no configurations.
        @Test
        void shouldRefuseKeysAsNotRunWhenConfigurationIsNotConfirmed() {
            assertThat(
                            RequestAuthorization.of(
                                            configuration(false, ENGINES, accounts),
                                            origin("k1"),
                                            false)
                                    .refusal())
                    .hasValue(ErrorCode.OUTDATED);
        }
    }

    @Group
    @Nested
    class BeforeSend {

        @Test
        void shouldRefuseWhenRouteMovedToAnotherService() {
            AccountDirectory accounts = AccountDirectory.of(List.of(account("north", "k1")));
            RequestAuthorization earlier =
                    RequestAuthorization.of(
                            configuration(false, ENGINES, accounts), origin("k1"), true);
            RequestAuthorization now =
                    RequestAuthorization.of(
                            configuration(false, OTHER, accounts), origin("k1"), true);

            assertThat(now.refusalAfter(earlier, ENGINES)).hasValue(ErrorCode.OUTDATED);
            assertThat(now.refusalAfter(earlier, OTHER)).isEmpty();
        }

        /**
         * The owner of the only key by version: 0 for nobody, 1 and 2 for one account, 3 for both.
         */
        private AccountDirectory directory(int owner) {
            return AccountDirectory.of(
                    List.of(
                            account("north", (owner & 1) == 1 ? "k1" : "own-1"),
                            account("south", (owner & 2) == 2 ? "k1" : "own-2")));
        }

        // Guards against a waiting request that is sent after its key was removed, or on behalf of
        // an account that no longer holds the key.
        @Property(seed = "4201", tries = 2_000)
        void shouldSendOnlyWhileArrivalAccountHoldsKey(@ForAll("histories") History history) {
            ServingConfiguration first =
                    configuration(false, ENGINES, directory(history.owners().get(0)));
            RequestAuthorization arrival = RequestAuthorization.of(first, origin("k1"), true);
            if (arrival.refusal().isPresent()) {
                assertThat(history.owners().get(0)).isAnyOf(0, 3);
                return;
            }
            history.owners()
                    .forEach(
                            owner -> {
                                RequestAuthorization now =
                                        RequestAuthorization.of(
                                                configuration(false, ENGINES, directory(owner)),
                                                origin("k1"),
                                                true);
                                assertThat(now.refusalAfter(arrival, ENGINES).isEmpty())
                                        .isEqualTo(owner.equals(history.owners().get(0)));
                            });
        }

        @Provide
        Arbitrary<History> histories() {
            return Arbitraries.integers()
                    .between(0, 3)
                    .list()
                    .ofMinSize(1)
                    .ofMaxSize(8)
                    .map(History::new);
        }
    }

    /** The owner of a key in successive versions of the configuration. */
    record History(List<Integer> owners) {}
}
