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
    private static final IncarnationId NEXT = IncarnationId.of("target-1-b");

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
        membership.opened(TARGET, OWNER, 0);
    }

    @Nested
    class Leaving {
        @Test
        void shouldStopWhenTheDaemonSaysSoWhateverTheListSays() {
            membership.listed(Set.of());
            membership.announced(TARGET, OWNER, true);

            assertThat(membership.accepts(TARGET, 1)).isFalse();
        }

        // The daemon is frozen and says nothing, and the operator's record does not arrive: the
        // lagging list is the first to tell.
        @Test
        void shouldStopWhenTheListSaysSoAndKeepToItWhenItCanNoLongerBeRead() {
            membership.listed(Set.of(HOST));

            assertThat(membership.accepts(TARGET, 1)).isFalse();
        }

        @Test
        void shouldStopWhenAnOperatorDrainsAndGoOnWhenThatIsTakenBack() {
            membership.handle(LogRecord.of(6, 0, new LogEntry.DrainRequested(TARGET, true, "ana")));
            assertThat(membership.accepts(TARGET, 1)).isFalse();

            membership.handle(
                    LogRecord.of(7, 0, new LogEntry.DrainRequested(TARGET, false, "ana")));
            assertThat(membership.accepts(TARGET, 1)).isTrue();
        }

        @Test
        void shouldForgetTheAnnouncementWhenASuccessorOwnsTheTarget() {
            membership.announced(TARGET, OWNER, true);
            membership.handle(taken(NEXT, 8));
            membership.opened(TARGET, NEXT, 1);

            assertThat(membership.accepts(TARGET, 2)).isTrue();
        }
    }

    @Nested
    class Ownership {
        @Test
        void shouldRetireTheFormerOwnerAndConnectToTheNext() {
            assertThat(membership.handle(taken(NEXT, 8)))
                    .containsExactly(new MembershipAction.Retire(TARGET, OWNER));
            assertThat(membership.tick(1, 1))
                    .containsExactly(new MembershipAction.Connect(TARGET, NEXT, "127.0.0.1:8"));
            assertThat(membership.accepts(TARGET, 1)).isFalse();
        }

        // A paused predecessor wakes up and its old record is offered by a peer: the log's order
        // decides, not the order of arrival.
        @Test
        void shouldKeepTheNewestOwnerWhenAnOlderRecordArrivesLater() {
            membership.handle(taken(NEXT, 8));

            membership.handle(taken(OWNER, 5));

            assertThat(membership.owner(TARGET)).hasValue(NEXT);
        }
    }

    @Nested
    class Silence {
        @Test
        void shouldAskSuspectAndCloseWhenATargetFallsSilent() {
            assertThat(membership.tick(Membership.QUERY_MILLIS, 1))
                    .containsExactly(new MembershipAction.Query(TARGET, OWNER));
            assertThat(membership.accepts(TARGET, Membership.SUSPECT_MILLIS - 1)).isTrue();
            assertThat(membership.accepts(TARGET, Membership.SUSPECT_MILLIS)).isFalse();
            assertThat(membership.tick(Membership.SILENT_MILLIS, 1))
                    .containsExactly(new MembershipAction.Close(TARGET, OWNER));
        }

        @Test
        void shouldConnectAgainAfterABackOffThatGrows() {
            membership.closed(TARGET, OWNER, 0);
            assertThat(membership.tick(10, 1)).isEmpty();
            assertThat(membership.tick(100, 1)).hasSize(1);
            membership.closed(TARGET, OWNER, 100);
            assertThat(membership.tick(199, 1)).isEmpty();
            assertThat(membership.tick(300, 1))
                    .containsExactlyElementsIn(
                            List.of(new MembershipAction.Connect(TARGET, OWNER, "127.0.0.1:5")));
        }
    }
}
