package org.tamaracktrack.core.account;

/** What the quota of a client account counts. */
public enum QuotaUnit {
    /** Each request counts as one. */
    REQUESTS,
    /** Each request counts as its prompt tokens plus the maximum number of output tokens. */
    TOKENS
}
