package org.tamaracktrack.core.admission;

import java.util.Map;
import java.util.stream.Collectors;
import org.tamaracktrack.core.config.Configuration;
import org.tamaracktrack.core.id.ClientAccountId;
import org.tamaracktrack.core.id.RequestClassId;

/**
 * The limits that admission control enforces. Share, cap and queue limit are three independent
 * limits; a fourth, the request rate, is enforced by the entry daemons.
 *
 * @param concurrency the maximum number of requests that the target runs at the same time
 * @param classes the limits of each class
 * @param accounts the limits of each client account
 */
public record AdmissionLimits(
        int concurrency,
        Map<RequestClassId, ClassLimits> classes,
        Map<ClientAccountId, AccountLimits> accounts) {
    private static final int UNLISTED_QUEUE_LIMIT = 16;

    /** Copies the maps. */
    public AdmissionLimits {
        classes = Map.copyOf(classes);
        accounts = Map.copyOf(accounts);
    }

    /**
     * The limits of a class.
     *
     * @param weight its weight relative to the other classes, above 0
     * @param queueLimit the maximum number of its requests that wait
     */
    public record ClassLimits(int weight, int queueLimit) {}

    /**
     * The limits of a client account.
     *
     * @param share its weight relative to the other accounts within a class, above 0
     * @param cap the maximum number of its requests that run at the same time
     * @param queueLimit the maximum number of its requests that wait
     */
    public record AccountLimits(int share, int cap, int queueLimit) {}

    /**
     * Returns the limits that a configuration sets for a target.
     *
     * @param configuration the configuration
     * @param concurrency the maximum number of requests that the target runs at the same time
     * @return the limits
     */
    public static AdmissionLimits of(Configuration configuration, int concurrency) {
        return new AdmissionLimits(
                concurrency,
                configuration.classes().values().stream()
                        .collect(
                                Collectors.toMap(
                                        Configuration.RequestClass::id,
                                        each -> new ClassLimits(each.weight(), each.queueLimit()))),
                configuration.accounts().values().stream()
                        .collect(
                                Collectors.toMap(
                                        Configuration.ClientAccount::id,
                                        each ->
                                                new AccountLimits(
                                                        each.share(),
                                                        each.cap(),
                                                        each.queueLimit()))));
    }

    /**
     * Returns the limits of a class. An entry daemon may use a newer configuration than the target,
     * so a class that is not listed gets low limits instead of being refused.
     *
     * @param id the class
     * @return its limits
     */
    public ClassLimits limitsOf(RequestClassId id) {
        return classes.getOrDefault(id, new ClassLimits(1, UNLISTED_QUEUE_LIMIT));
    }

    /**
     * Returns the limits of a client account, or low limits if it is not listed.
     *
     * @param id the client account
     * @return its limits
     */
    public AccountLimits limitsOf(ClientAccountId id) {
        return accounts.getOrDefault(id, new AccountLimits(1, concurrency, UNLISTED_QUEUE_LIMIT));
    }
}
