package org.tamaracktrack.core.admission;

import java.util.Locale;

/** The admission policies that a target can run. */
public enum AdmissionKind {
    /** {@link FairAdmission}. */
    FAIR,
    /** {@link FifoAdmission}. */
    FIFO;

    /**
     * Returns the name in settings.
     *
     * @return the name
     */
    public String text() {
        return name().toLowerCase(Locale.ROOT);
    }

    /**
     * Returns a policy of this kind with nothing waiting.
     *
     * @param limits the limits it keeps
     * @return the policy
     */
    public AdmissionPolicy policy(AdmissionLimits limits) {
        return this == FAIR ? FairAdmission.of(limits) : FifoAdmission.of(limits);
    }
}
