package org.tamaracktrack.daemon.entry;

import java.util.Set;
import org.tamaracktrack.core.error.ErrorCode;
import org.tamaracktrack.core.error.TamaracktrackException;

/** Validates the paths and methods of callers' HTTP requests. */
final class CallerPaths {
    static final String MODELS = "/v1/models";
    private static final Set<String> COMPLETIONS =
            Set.of("/v1/chat/completions", "/v1/completions");

    private CallerPaths() {}

    /** Throws if no resource exists at the path or the path does not support the method. */
    static void check(String method, String path) {
        if (path.startsWith(RequestReader.SERVICES_PATH)) {
            return;
        }
        boolean isModelList = path.equals(MODELS);
        if (!isModelList && !COMPLETIONS.contains(path)) {
            throw TamaracktrackException.of(ErrorCode.NOT_FOUND, "there is nothing at this path");
        }
        if (!method.equals(isModelList ? "GET" : "POST")) {
            throw TamaracktrackException.of(
                    ErrorCode.METHOD_NOT_ALLOWED, "the path does not take " + method);
        }
    }
}
