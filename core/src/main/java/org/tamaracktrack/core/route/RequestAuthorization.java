package org.tamaracktrack.core.route;

import java.util.Objects;
import java.util.Optional;
import org.tamaracktrack.core.account.Account;
import org.tamaracktrack.core.account.KeyDigest;
import org.tamaracktrack.core.error.ErrorCode;
import org.tamaracktrack.core.id.ServiceId;

/**
 * Whether one version of the configuration allows a request, and on behalf of which client account.
 *
 * <p>A request that waits can outlive the version under which it arrived: its key may have been
 * removed, or its route moved to another service. It is therefore authorized again before each
 * send.
 *
 * @param refusal why the request is not allowed; empty when it is
 * @param route the route; empty when none matches
 * @param account the client account of the key; empty without keys and on a public route without a
 *     known key
 */
public record RequestAuthorization(
        Optional<ErrorCode> refusal, Optional<Route> route, Optional<Account> account) {

    /** Checks the arguments. */
    public RequestAuthorization {
        Objects.requireNonNull(refusal, "refusal is null");
        Objects.requireNonNull(route, "route is null");
        Objects.requireNonNull(account, "account is null");
    }

    /**
     * What identifies the route and the client account of a request.
     *
     * @param host the host name in lower case, without a port
     * @param path the path without its query
     * @param key the digest of the caller's key; empty when none could be read
     */
    public record Origin(String host, String path, Optional<KeyDigest> key) {

        /** Checks the arguments. */
        public Origin {
            Objects.requireNonNull(host, "host is null");
            Objects.requireNonNull(path, "path is null");
            Objects.requireNonNull(key, "key is null");
        }
    }

    /**
     * Authorizes a request.
     *
     * @param configuration the configuration in force
     * @param origin what identifies the request's route and account
     * @param keysConfirmed whether the configuration is recent enough to accept keys
     * @return the authorization
     */
    public static RequestAuthorization of(
            ServingConfiguration configuration, Origin origin, boolean keysConfirmed) {
        Objects.requireNonNull(configuration, "configuration is null");
        Objects.requireNonNull(origin, "origin is null");
        Optional<Route> route = configuration.routes().find(origin.host(), origin.path());
        if (route.isEmpty()) {
            return refused(ErrorCode.NOT_FOUND, route);
        }
        Optional<Account> account = origin.key().flatMap(configuration.accounts()::find);
        if (!configuration.accounts().keysRequired() || route.get().isPublic()) {
            return new RequestAuthorization(Optional.empty(), route, account);
        }
        if (!keysConfirmed) {
            return refused(ErrorCode.OUTDATED, route);
        }
        return account.isEmpty()
                ? refused(ErrorCode.UNAUTHENTICATED, route)
                : new RequestAuthorization(Optional.empty(), route, account);
    }

    private static RequestAuthorization refused(ErrorCode code, Optional<Route> route) {
        return new RequestAuthorization(Optional.of(code), route, Optional.empty());
    }

    /**
     * Returns why a request that was allowed by an earlier version may not be sent any more.
     *
     * @param earlier the authorization under which the request was accepted
     * @param service the service that was selected for it
     * @return the reason; empty when it may be sent
     */
    public Optional<ErrorCode> refusalAfter(RequestAuthorization earlier, ServiceId service) {
        if (refusal.isPresent()) {
            return refusal;
        }
        boolean sameAccount = account.map(Account::id).equals(earlier.account().map(Account::id));
        boolean serviceAllowed = route.filter(current -> current.allows(service)).isPresent();
        return sameAccount && serviceAllowed ? Optional.empty() : Optional.of(ErrorCode.OUTDATED);
    }
}
