package org.tamaracktrack.daemon.gateway;

import java.util.List;
import org.tamaracktrack.core.quarantine.RequestFingerprint;
import org.tamaracktrack.core.quarantine.TargetEnd;

/** Hears of targets that ended and of what they had, on the traffic thread. */
public interface EndsListener {
    /** Hears nothing. */
    EndsListener NONE =
            new EndsListener() {
                @Override
                public void onEnded(List<TargetEnd> ends) {}

                @Override
                public void onAnswered(RequestFingerprint request) {}
            };

    /**
     * A target ended.
     *
     * @param ends one for each request that it had from this daemon
     */
    void onEnded(List<TargetEnd> ends);

    /**
     * A request under which a target had ended got a whole answer.
     *
     * @param request the request
     */
    void onAnswered(RequestFingerprint request);
}
