package org.tamaracktrack.core.membership;

import org.tamaracktrack.core.id.IncarnationId;
import org.tamaracktrack.core.id.TargetId;

/** What is to be done about connections to target daemons. */
public sealed interface MembershipAction {

    /**
     * Open a connection.
     *
     * @param target the target
     * @param owner the daemon expected there
     * @param address its IP number and port
     */
    record Connect(TargetId target, IncarnationId owner, String address)
            implements MembershipAction {}

    /**
     * Ask for a load report.
     *
     * @param target the target
     * @param owner the daemon
     */
    record Query(TargetId target, IncarnationId owner) implements MembershipAction {}

    /**
     * Close a connection whose other end has fallen silent.
     *
     * @param target the target
     * @param owner the daemon
     */
    record Close(TargetId target, IncarnationId owner) implements MembershipAction {}

    /**
     * Another daemon owns the target now: close the connection once nothing is in progress on it.
     *
     * @param target the target
     * @param owner the former owner
     */
    record Retire(TargetId target, IncarnationId owner) implements MembershipAction {}
}
