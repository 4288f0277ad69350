package org.tamaracktrack.core.admission;

import java.util.Map;
import java.util.stream.Collectors;
import org.tamaracktrack.core.config.Configuration;
import org.tamaracktrack.core.id.ClientAccountId;
import org.tamaracktrack.core.id.RequestClassId;

/**
 * The limits that admission keeps. Share, cap and queue bound are three different limits; the
 * fourth, the rate, is kept by the entry daemons.
 *
 * @param concurrency how many requests the target runs at once
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
     * @param weight its share against the other classes, above 0
     * @param queueLimit how many of its requests may wait
     */
    public record ClassLimits(int weight, int queueLimit) {}

    /**
     * The limits of a client account.
     *
     * @param share its weight within a class, above 0
     * @param cap how many of its requests run at once
     * @param queueLimit how many of its requests may wait
     */
    public record AccountLimits(int share, int cap, int queueLimit) {}

    /**
     * Returns the limits that a configuration sets.
     *
     * @param configuration the configuration
     * @param concurrency how many requests the target runs at once
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
     * Returns the limits of a class. An entry daemon may know a newer configuration than the target
     * does, so a class that is not listed has small limits instead of none.
     *
     * @param id the class
     * @return its limits
     */
    public ClassLimits limitsOf(RequestClassId id) {
        return classes.getOrDefault(id, new ClassLimits(1, UNLISTED_QUEUE_LIMIT));
    }

    /**
     * Returns the limits of a client account, small ones if it is not listed.
     *
     * @param id the account
     * @return its limits
     */
    public AccountLimits limitsOf(ClientAccountId id) {
        return accounts.getOrDefault(id, new AccountLimits(1, concurrency, UNLISTED_QUEUE_LIMIT));
    }
}
