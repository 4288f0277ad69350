package org.tamaracktrack.daemon.target;

import org.tamaracktrack.core.error.ErrorCode;
import org.tamaracktrack.core.error.Ran;

/** Hears how the traffic of attempts goes. Called by input/output threads. */
interface AttemptListener {

    /** The first bytes of the answer were seen. */
    void onFirstBytes(Attempt attempt);

    /** The answer is whole. */
    void onWhole(Attempt attempt);

    /** The engine or the service certainly did not run it. */
    void onNotRun(Attempt attempt, ErrorCode code);

    /** It failed after it may have run. */
    void onFailed(Attempt attempt, ErrorCode code, Ran ran);
}
