package org.tamaracktrack.core.error;

import com.fasterxml.jackson.annotation.JsonProperty;

/** Whether a request ran on a target. */
public enum Ran {
    /** It did not run, and will not. */
    @JsonProperty("no")
    NO,
    /** It may have run, may be running, or may still run. */
    @JsonProperty("unknown")
    UNKNOWN,
    /** It ran. */
    @JsonProperty("yes")
    YES
}
