package org.tamaracktrack.core.error;

import com.fasterxml.jackson.annotation.JsonProperty;

/** Whether a request ran on a target. */
public enum Ran {
    /** The request did not run and will not run. */
    @JsonProperty("no")
    NO,
    /** The request may have run, may be running, or may still run. */
    @JsonProperty("unknown")
    UNKNOWN,
    /** The request ran. */
    @JsonProperty("yes")
    YES
}
