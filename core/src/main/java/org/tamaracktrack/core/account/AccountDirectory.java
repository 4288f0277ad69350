package org.tamaracktrack.core.account;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;

/** The client accounts of one version of the serving configuration. Immutable. */
public final class AccountDirectory {
    private static final AccountDirectory NONE = new AccountDirectory(false, List.of());

    private final boolean keysRequired;
    private final KeyDirectory<Account> byKey;
    private final boolean quotas;

    private AccountDirectory(boolean keysRequired, List<Account> accounts) {
        this.keysRequired = keysRequired;
        this.byKey = KeyDirectory.of(accounts, Account::keys);
        this.quotas = accounts.stream().anyMatch(account -> account.quota().isPresent());
    }

    /**
     * Returns the directory of a configuration without client accounts, whose callers need no key.
     *
     * @return the directory
     */
    public static AccountDirectory empty() {
        return NONE;
    }

    /**
     * Returns the directory of a configuration with client accounts. Callers need a key even if the
     * list is empty, as it is when no account of a configuration is valid.
     *
     * @param accounts the accounts
     * @return the directory
     */
    public static AccountDirectory of(List<Account> accounts) {
        Objects.requireNonNull(accounts, "accounts is null");
        return new AccountDirectory(true, accounts);
    }

    /**
     * Returns whether callers need a key on routes that are not public.
     *
     * @return true when the configuration has client accounts
     */
    public boolean keysRequired() {
        return keysRequired;
    }

    /**
     * Returns whether any account has a quota.
     *
     * @return true when requests of some accounts are limited
     */
    public boolean hasQuotas() {
        return quotas;
    }

    /**
     * Returns the account of a key.
     *
     * @param key the digest of the key
     * @return the account; empty when the key is unknown or belongs to several accounts
     */
    public Optional<Account> find(KeyDigest key) {
        return byKey.find(key);
    }

    /**
     * Returns the accounts that share a key with another account. That key authenticates nobody.
     *
     * @return the accounts; empty in a consistent configuration
     */
    public Set<Account> conflicting() {
        return byKey.conflicting();
    }
}
