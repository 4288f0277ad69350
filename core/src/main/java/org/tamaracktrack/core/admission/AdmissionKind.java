package org.tamaracktrack.core.admission;

import java.util.Locale;

/** The kinds of admission policy that a target can use. */
public enum AdmissionKind {
    /** Weighted fair queueing: {@link FairAdmission}. */
    FAIR,
    /** First in, first out: {@link FifoAdmission}. */
    FIFO;

    /**
     * Returns the name of the policy in settings.
     *
     * @return the name
     */
    public String text() {
        return name().toLowerCase(Locale.ROOT);
    }

    /**
     * Returns a policy of this kind without queued requests.
     *
     * @param limits the limits that the policy enforces
     * @return the policy
     */
    public AdmissionPolicy policy(AdmissionLimits limits) {
        return this == FAIR ? FairAdmission.of(limits) : FifoAdmission.of(limits);
    }
}
