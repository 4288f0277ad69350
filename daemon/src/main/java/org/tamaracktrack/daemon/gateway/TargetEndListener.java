package org.tamaracktrack.daemon.gateway;

import java.util.List;
import org.tamaracktrack.core.quarantine.RequestFingerprint;
import org.tamaracktrack.core.quarantine.TargetEnd;

/** Receives the targets that ended and the requests that they had, on the traffic thread. */
public interface TargetEndListener {
    /** A listener that does nothing. */
    TargetEndListener NONE =
            new TargetEndListener() {
                @Override
                public void onTargetEnded(List<TargetEnd> ends) {}

                @Override
                public void onRequestAnswered(RequestFingerprint request) {}
            };

    /**
     * Called when a target has ended.
     *
     * @param ends one for each request that the target had from this daemon
     */
    void onTargetEnded(List<TargetEnd> ends);

    /**
     * Called when a request under which a target had ended has got a complete response.
     *
     * @param request the request
     */
    void onRequestAnswered(RequestFingerprint request);
}
