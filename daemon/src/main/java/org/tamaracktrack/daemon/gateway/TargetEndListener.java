package org.tamaracktrack.daemon.gateway;

import java.util.List;
import org.tamaracktrack.core.quarantine.Suspect;
import org.tamaracktrack.core.quarantine.TargetEnd;

/** Receives the targets that ended and the suspects that they had, on the traffic thread. */
public interface TargetEndListener {
    /** A listener that does nothing. */
    TargetEndListener NONE =
            new TargetEndListener() {
                @Override
                public void onTargetEnded(List<TargetEnd> ends) {}

                @Override
                public void onAnswered(Suspect suspect) {}
            };

    /**
     * Called when a target has ended.
     *
     * @param ends one for each request that the target had from this daemon, and for each part of
     *     their prompts that was not answered recently
     */
    void onTargetEnded(List<TargetEnd> ends);

    /**
     * Called when a target has answered a suspect, which is thereby cleared.
     *
     * @param suspect the request or part
     */
    void onAnswered(Suspect suspect);
}
