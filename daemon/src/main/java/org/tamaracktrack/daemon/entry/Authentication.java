package org.tamaracktrack.daemon.entry;

import java.util.List;
import java.util.stream.Collectors;
import org.tamaracktrack.core.account.BearerToken;
import org.tamaracktrack.core.account.KeyDigest;
import org.tamaracktrack.core.account.KeyDirectory;
import org.tamaracktrack.core.config.Configuration;
import org.tamaracktrack.core.error.ErrorCode;
import org.tamaracktrack.core.error.TamaracktrackException;

/**
 * Authenticates a client account by the key that the caller sends as a bearer token. Thread-safe.
 */
final class Authentication {
    private volatile Keys keys = Keys.of(null);

    private Authentication() {}

    /** The keys of one configuration. */
    private record Keys(
            Configuration configuration, KeyDirectory<Configuration.ClientAccount> directory) {
        private static Keys of(Configuration configuration) {
            return new Keys(
                    configuration,
                    KeyDirectory.of(
                            configuration == null ? List.of() : configuration.accounts().values(),
                            account ->
                                    account.keyHashes().stream()
                                            .map(KeyDigest::of)
                                            .collect(Collectors.toSet())));
        }
    }

    static Authentication of() {
        return new Authentication();
    }

    /**
     * Returns the account of a key.
     *
     * @param configuration the configuration in force
     * @param authorization all values of the request's {@code Authorization} headers
     * @throws TamaracktrackException with {@code UNAUTHENTICATED} if there is not exactly one known
     *     key
     */
    Configuration.ClientAccount authenticate(
            Configuration configuration, List<String> authorization) {
        return BearerToken.parse(authorization)
                .flatMap(directory(configuration)::find)
                .orElseThrow(
                        () ->
                                TamaracktrackException.of(
                                        ErrorCode.UNAUTHENTICATED,
                                        "send Authorization: Bearer with a valid key"));
    }

    // The directory is made once a configuration; two threads may make it at the same time.
    private KeyDirectory<Configuration.ClientAccount> directory(Configuration configuration) {
        Keys current = keys;
        if (current.configuration() != configuration) {
            current = Keys.of(configuration);
            keys = current;
        }
        return current.directory();
    }
}
