package org.tamaracktrack.daemon.target;

import java.util.Optional;
import org.tamaracktrack.core.error.ErrorCode;
import org.tamaracktrack.core.error.TamaracktrackException;
import org.tamaracktrack.link.codec.Codecs;

/** Determines from an engine's error response whether the request was certainly not run. */
final class EngineRefusal {
    private static final int NOT_FOUND = 404;
    private static final int UNAVAILABLE = 503;

    private EngineRefusal() {}

    /** The body of an engine's error response. */
    private record Body(Problem error) {}

    private record Problem(String code) {}

    static boolean mayBe(int status) {
        return status == NOT_FOUND || status == UNAVAILABLE;
    }

    // Only the engine's own error codes count. Another response with the same status, such as one
    // from a proxy, does not show whether the request ran.
    static Optional<ErrorCode> read(int status, byte[] body) {
        String code = codeIn(body);
        if (status == NOT_FOUND
                && ("model_not_loaded".equals(code) || "adapter_not_loaded".equals(code))) {
            return Optional.of(ErrorCode.MODEL_NOT_RESIDENT);
        }
        return status == UNAVAILABLE && "busy".equals(code)
                ? Optional.of(ErrorCode.OVERLOADED)
                : Optional.empty();
    }

    private static String codeIn(byte[] body) {
        try {
            Body decoded = Codecs.decode(Codecs.json(), body, Body.class);
            return decoded.error() == null ? "" : decoded.error().code();
        } catch (TamaracktrackException notJson) {
            return "";
        }
    }
}
