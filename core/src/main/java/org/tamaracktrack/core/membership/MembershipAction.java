package org.tamaracktrack.core.membership;

import org.tamaracktrack.core.id.IncarnationId;
import org.tamaracktrack.core.id.TargetId;

/** An action to take on a connection to a target daemon. */
public sealed interface MembershipAction {

    /**
     * Opens a connection.
     *
     * @param target the target
     * @param owner the daemon that is expected at the address
     * @param address its IP address and port
     */
    record Connect(TargetId target, IncarnationId owner, String address)
            implements MembershipAction {}

    /**
     * Requests a load report.
     *
     * @param target the target
     * @param owner the daemon
     */
    record QueryLoad(TargetId target, IncarnationId owner) implements MembershipAction {}

    /**
     * Closes a connection on which nothing was received for too long, or that was not established
     * in time.
     *
     * @param target the target
     * @param owner the daemon
     */
    record Close(TargetId target, IncarnationId owner) implements MembershipAction {}

    /**
     * Closes the connection to a former owner once no request is in progress on it, because another
     * daemon owns the target now.
     *
     * @param target the target
     * @param owner the former owner
     */
    record Retire(TargetId target, IncarnationId owner) implements MembershipAction {}
}
