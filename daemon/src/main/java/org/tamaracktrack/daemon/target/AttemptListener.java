package org.tamaracktrack.daemon.target;

import org.tamaracktrack.core.error.ErrorCode;
import org.tamaracktrack.core.error.Ran;

/** Receives the events of an attempt's answer. Called by input/output threads. */
interface AttemptListener {

    /** Called when the first bytes of the answer have arrived. */
    void onFirstBytes(Attempt attempt);

    /** Called when the answer is complete. */
    void onComplete(Attempt attempt);

    /** Called when the attempt certainly did not run at the engine or plain service. */
    void onNotRun(Attempt attempt, ErrorCode code);

    /** Called when the attempt failed and may have run. */
    void onFailed(Attempt attempt, ErrorCode code, Ran ran);
}
