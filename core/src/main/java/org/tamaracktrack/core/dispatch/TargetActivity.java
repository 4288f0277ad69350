package org.tamaracktrack.core.dispatch;

/** What is known of whether the process of one run of a target is running. */
public interface TargetActivity {
    /** The value of {@link #lastActiveMillis()} before the target has shown any activity. */
    long NEVER = Long.MIN_VALUE / 2;

    /**
     * Returns the latest time at which the target is known to have been running.
     *
     * @return the monotonic time in milliseconds; {@link #NEVER} when nothing is known
     */
    long lastActiveMillis();

    /**
     * Returns whether the process is known to have ended, so that it reads nothing any more.
     *
     * @return false when it is running or stopped, or nothing is known
     */
    boolean hasEnded();
}
