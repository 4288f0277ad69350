package org.tamaracktrack.core.dispatch;

import java.util.Objects;

/**
 * A part of a prompt that other requests may share.
 *
 * @param contentId identifies the content of the part
 * @param tokens length of the part in tokens
 */
public record PromptPart(String contentId, int tokens) {

    /** Checks the arguments. */
    public PromptPart {
        Objects.requireNonNull(contentId, "contentId is null");
    }
}
