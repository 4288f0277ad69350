package org.tamaracktrack.core.config;

import static com.google.common.truth.Truth.assertThat;
import static org.tamaracktrack.core.config.RegisterDocuments.publication;
import static org.tamaracktrack.core.config.RegisterDocuments.snapshot;

import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.tamaracktrack.core.config.ConfigurationEvent.Breach;
import org.tamaracktrack.core.config.ConfigurationEvent.InvariantBroken;

class ConfigurationRegisterTest {
    private final ConfigurationRegister register =
            ConfigurationRegister.of(RegisterDocuments::parse);

    private long version() {
        return register.inForce().map(InForce::version).orElse(-1L);
    }

    private String document() {
        return register.inForce().map(InForce::document).orElse("");
    }

    @Nested
    class Publications {
        @Test
        void shouldAcceptWhenBasedOnTheVersionInForce() {
            register.handle(publication(0, "p", -1, "first"));
            register.handle(publication(1, "q", 0, "second"));

            assertThat(version()).isEqualTo(1);
            assertThat(document()).isEqualTo("second");
        }

        @Test
        void shouldRejectTheSecondWhenTwoOperatorsRace() {
            register.handle(publication(0, "p", -1, "first"));
            register.handle(publication(1, "q", 0, "left"));
            List<ConfigurationEvent> events = register.handle(publication(2, "r", 0, "right"));

            assertThat(events.get(0)).isInstanceOf(ConfigurationEvent.Superseded.class);
            assertThat(document()).isEqualTo("left");
        }

        @Test
        void shouldCallItDoubledWhenAnAppendWasRetried() {
            register.handle(publication(0, "p", -1, "first"));
            List<ConfigurationEvent> events = register.handle(publication(1, "p", -1, "first"));

            assertThat(events.get(0)).isInstanceOf(ConfigurationEvent.Doubled.class);
            assertThat(version()).isEqualTo(0);
        }

        @Test
        void shouldStayWithTheOldWhenTheNewDoesNotValidate() {
            register.handle(publication(0, "p", -1, "first"));
            register.handle(publication(1, "q", 0, RegisterDocuments.INVALID));
            register.handle(publication(2, "r", 0, RegisterDocuments.BROKEN));

            assertThat(version()).isEqualTo(0);
        }

        @Test
        void shouldIgnoreWhenARecordIsReadAgain() {
            register.handle(publication(0, "p", -1, "first"));
            register.handle(publication(1, "q", 0, "second"));

            assertThat(register.handle(publication(0, "p", -1, "first"))).isEmpty();
            assertThat(version()).isEqualTo(1);
        }

        @Test
        void shouldWaitForASnapshotWhenTheFormatIsOfALaterRelease() {
            register.handle(publication(0, "p", -1, "first"));
            register.handle(publication(1, "q", 0, RegisterDocuments.LATER_FORMAT));
            register.handle(publication(2, "r", 1, "third"));

            assertThat(register.awaitsSnapshot()).isTrue();
            assertThat(version()).isEqualTo(0);

            register.handle(snapshot(3, 3, 2, "third"));
            assertThat(version()).isEqualTo(2);
        }
    }

    @Nested
    class Gaps {
        @Test
        void shouldWaitForASnapshotWhenRecordsExpiredUnread() {
            register.handle(publication(0, "p", -1, "first"));
            register.gap(5);
            register.handle(publication(5, "q", 0, "fifth"));

            assertThat(register.awaitsSnapshot()).isTrue();
            assertThat(version()).isEqualTo(0);
            assertThat(register.snapshot()).isEmpty();
        }

        @Test
        void shouldTakeAHoleForAGapWhenNobodySaidSo() {
            register.handle(publication(0, "p", -1, "first"));
            register.handle(publication(5, "q", 0, "fifth"));

            assertThat(register.awaitsSnapshot()).isTrue();
            assertThat(version()).isEqualTo(0);
        }

        @Test
        void shouldPassOverWhenARecordIsUnreadable() {
            register.handle(publication(0, "p", -1, "first"));
            register.handleUnreadable(1);
            register.handle(publication(2, "q", 0, "second"));

            assertThat(version()).isEqualTo(2);
        }

        @Test
        void shouldJudgeRecordsThatCameWhileTheSnapshotWasWritten() {
            register.gap(5);
            register.handle(publication(5, "q", 3, "fifth"));
            register.handle(publication(6, "r", 5, "sixth"));
            register.handle(snapshot(7, 6, 5, "fifth"));

            assertThat(version()).isEqualTo(6);
            assertThat(document()).isEqualTo("sixth");
        }

        @Test
        void shouldNotStartWhenTheSnapshotDoesNotReachTheGapsEnd() {
            register.gap(5);
            register.handle(snapshot(5, 4, 3, "third"));

            assertThat(register.awaitsSnapshot()).isTrue();
            assertThat(version()).isEqualTo(-1);
        }

        @Test
        void shouldNotStartWhenTheSnapshotNamesNoVersion() {
            register.gap(5);
            register.handle(snapshot(5, 5, -1, "none"));

            assertThat(register.awaitsSnapshot()).isTrue();
        }

        @Test
        void shouldNotGoBackWhenASnapshotIsOlder() {
            register.handle(publication(0, "p", -1, "first"));
            register.handle(publication(1, "q", 0, "second"));
            register.gap(5);
            List<ConfigurationEvent> events = register.handle(snapshot(5, 5, 0, "first"));

            assertThat(events).containsExactly(new InvariantBroken(Breach.SNAPSHOT_DISAGREES, 0));
            assertThat(version()).isEqualTo(1);
        }
    }

    @Nested
    class Snapshots {
        @Test
        void shouldAgreeWhenItSaysWhatWasRead() {
            register.handle(publication(0, "p", -1, "first"));
            register.handle(publication(1, "q", 0, "second"));

            assertThat(register.handle(snapshot(2, 1, 0, "first")).get(0))
                    .isInstanceOf(ConfigurationEvent.SnapshotAgrees.class);
            assertThat(version()).isEqualTo(1);
        }

        @Test
        void shouldCountABreachWhenItSaysSomethingElse() {
            register.handle(publication(0, "p", -1, "first"));

            assertThat(register.handle(snapshot(1, 1, 0, "forged")))
                    .containsExactly(new InvariantBroken(Breach.SNAPSHOT_DISAGREES, 0));
            assertThat(document()).isEqualTo("first");
        }
    }

    @Nested
    class Offers {
        @Test
        void shouldTakeWhenTheLogIsOutAndItIsHigher() {
            register.unreachable();
            register.offer(7, "seventh");
            register.offer(4, "fourth");

            assertThat(version()).isEqualTo(7);
        }

        @Test
        void shouldNotTakeWhenTheLogIsFollowed() {
            register.handle(publication(0, "p", -1, "first"));
            register.caughtUp(1);

            assertThat(register.offer(7, "seventh")).isEmpty();
            assertThat(version()).isEqualTo(0);
        }

        @Test
        void shouldHoldWhileTheLogIsReadFromItsStart() {
            register.offer(1, "second");
            register.handle(publication(0, "p", -1, "first"));
            assertThat(version()).isEqualTo(1);

            register.handle(publication(1, "q", 0, "second"));
            assertThat(register.inForce().map(InForce::confirmed).orElse(false)).isTrue();
        }

        @Test
        void shouldGiveWayWhenTheLogShowsAnotherDocument() {
            register.offer(0, "forged");
            List<ConfigurationEvent> events = register.handle(publication(0, "p", -1, "first"));

            assertThat(events).contains(new InvariantBroken(Breach.OFFER_CONTRADICTED, 0));
            assertThat(document()).isEqualTo("first");
        }
    }
}
