package org.tamaracktrack.core.membership;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.tamaracktrack.core.id.DataCentreId;
import org.tamaracktrack.core.id.HostId;
import org.tamaracktrack.core.id.IncarnationId;
import org.tamaracktrack.core.id.TargetId;
import org.tamaracktrack.core.log.LogEntry;
import org.tamaracktrack.core.log.LogRecord;

class MembershipTest {
    private static final TargetId TARGET = TargetId.of("engine-1");
    private static final HostId HOST = HostId.of("host-1");
    private static final IncarnationId OWNER = IncarnationId.of("target-1-a");
    private static final IncarnationId NEXT_OWNER = IncarnationId.of("target-1-b");

    private final Membership membership = Membership.empty();

    private static LogRecord taken(IncarnationId owner, long offset) {
        return LogRecord.of(
                offset,
                0,
                new LogEntry.OwnershipTaken(
                        TARGET,
                        owner,
                        HOST,
                        DataCentreId.of("quito-1"),
                        "127.0.0.1:" + offset,
                        offset));
    }

    @BeforeEach
    void connect() {
        membership.handle(taken(OWNER, 5));
        membership.tick(0, 1);
        membership.connectionOpened(TARGET, OWNER, 0);
    }

    @Nested
    class Leaving {
        @Test
        void shouldStopAcceptingWhenTheDaemonAnnouncesLeavingAndTheHostListDoesNot() {
            membership.hostListRead(Set.of());
            membership.leavingAnnounced(TARGET, OWNER, true);

            assertThat(membership.accepts(TARGET, 1)).isFalse();
        }

        // The daemon is frozen and announces nothing, and the drain record of the operator does not
        // arrive: the host list, although it lags, is the first source to report it. It remains in
        // force while no newer list can be read.
        @Test
        void shouldStopAcceptingWhenTheHostListShowsTheHostAsLeaving() {
            membership.hostListRead(Set.of(HOST));

            assertThat(membership.accepts(TARGET, 1)).isFalse();
        }

        @Test
        void shouldStopAcceptingWhileAnOperatorDrainIsInForce() {
            membership.handle(LogRecord.of(6, 0, new LogEntry.DrainRequested(TARGET, true, "ana")));
            assertThat(membership.accepts(TARGET, 1)).isFalse();

            membership.handle(
                    LogRecord.of(7, 0, new LogEntry.DrainRequested(TARGET, false, "ana")));
            assertThat(membership.accepts(TARGET, 1)).isTrue();
        }

        @Test
        void shouldDiscardTheAnnouncementWhenASuccessorOwnsTheTarget() {
            membership.leavingAnnounced(TARGET, OWNER, true);
            membership.handle(taken(NEXT_OWNER, 8));
            membership.connectionOpened(TARGET, NEXT_OWNER, 1);

            assertThat(membership.accepts(TARGET, 2)).isTrue();
        }
    }

    @Nested
    class Ownership {
        @Test
        void shouldRetireTheFormerOwnerAndConnectToTheNext() {
            assertThat(membership.handle(taken(NEXT_OWNER, 8)))
                    .containsExactly(new MembershipAction.Retire(TARGET, OWNER));
            assertThat(membership.tick(1, 1))
                    .containsExactly(
                            new MembershipAction.Connect(TARGET, NEXT_OWNER, "127.0.0.1:8"));
            assertThat(membership.accepts(TARGET, 1)).isFalse();
        }

        // A paused predecessor resumes and a peer offers its old record: the order of the log
        // decides, not the order of arrival.
        @Test
        void shouldKeepTheNewestOwnerWhenAnOlderRecordArrivesLater() {
            membership.handle(taken(NEXT_OWNER, 8));

            membership.handle(taken(OWNER, 5));

            assertThat(membership.owner(TARGET)).hasValue(NEXT_OWNER);
        }
    }

    @Nested
    class Silence {
        @Test
        void shouldQueryThenSuspectThenCloseWhenATargetSendsNothing() {
            assertThat(membership.tick(Membership.LOAD_QUERY_AFTER_MILLIS, 1))
                    .containsExactly(new MembershipAction.QueryLoad(TARGET, OWNER));
            assertThat(membership.accepts(TARGET, Membership.SUSPECT_AFTER_MILLIS - 1)).isTrue();
            assertThat(membership.accepts(TARGET, Membership.SUSPECT_AFTER_MILLIS)).isFalse();
            assertThat(membership.tick(Membership.CLOSE_AFTER_MILLIS, 1))
                    .containsExactly(new MembershipAction.Close(TARGET, OWNER));
        }

        @Test
        void shouldReconnectWithGrowingBackoff() {
            membership.connectionClosed(TARGET, OWNER, 0);
            assertThat(membership.tick(10, 1)).isEmpty();
            assertThat(membership.tick(100, 1)).hasSize(1);
            membership.connectionClosed(TARGET, OWNER, 100);
            assertThat(membership.tick(199, 1)).isEmpty();
            assertThat(membership.tick(300, 1))
                    .containsExactlyElementsIn(
                            List.of(new MembershipAction.Connect(TARGET, OWNER, "127.0.0.1:5")));
        }
    }
}
