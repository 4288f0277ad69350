package org.tamaracktrack.core.dispatch;

import java.util.Objects;

/**
 * A part of a prompt that other requests may share.
 *
 * @param name names the part's content
 * @param tokens its length
 */
public record PromptPart(String name, int tokens) {

    /** Checks the arguments. */
    public PromptPart {
        Objects.requireNonNull(name, "name is null");
    }
}
