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
        return register.inForce().map(ConfigurationInForce::version).orElse(-1L);
    }

    private String document() {
        return register.inForce().map(ConfigurationInForce::document).orElse("");
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
        void shouldSupersedeTheSecondPublicationWhenTwoOperatorsRace() {
            register.handle(publication(0, "p", -1, "first"));
            register.handle(publication(1, "q", 0, "left"));
            List<ConfigurationEvent> events = register.handle(publication(2, "r", 0, "right"));

            assertThat(events.get(0)).isInstanceOf(ConfigurationEvent.Superseded.class);
            assertThat(document()).isEqualTo("left");
        }

        @Test
        void shouldReportADuplicateWhenAnAppendWasRetried() {
            register.handle(publication(0, "p", -1, "first"));
            List<ConfigurationEvent> events = register.handle(publication(1, "p", -1, "first"));

            assertThat(events.get(0)).isInstanceOf(ConfigurationEvent.Doubled.class);
            assertThat(version()).isEqualTo(0);
        }

        @Test
        void shouldKeepTheVersionInForceWhenANewDocumentIsInvalid() {
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
        void shouldAwaitASnapshotWhenTheFormatIsOfALaterRelease() {
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
        void shouldAwaitASnapshotWhenRecordsExpiredUnread() {
            register.handle(publication(0, "p", -1, "first"));
            register.handleGap(5);
            register.handle(publication(5, "q", 0, "fifth"));

            assertThat(register.awaitsSnapshot()).isTrue();
            assertThat(version()).isEqualTo(0);
            assertThat(register.snapshot()).isEmpty();
        }

        @Test
        void shouldAwaitASnapshotWhenOffsetsAreSkippedWithoutNotice() {
            register.handle(publication(0, "p", -1, "first"));
            register.handle(publication(5, "q", 0, "fifth"));

            assertThat(register.awaitsSnapshot()).isTrue();
            assertThat(version()).isEqualTo(0);
        }

        @Test
        void shouldSkipTheOffsetWhenARecordIsUnreadable() {
            register.handle(publication(0, "p", -1, "first"));
            register.handleUnreadable(1);
            register.handle(publication(2, "q", 0, "second"));

            assertThat(version()).isEqualTo(2);
        }

        @Test
        void shouldEvaluateBufferedRecordsWhenASnapshotArrivesAfterThem() {
            register.handleGap(5);
            register.handle(publication(5, "q", 3, "fifth"));
            register.handle(publication(6, "r", 5, "sixth"));
            register.handle(snapshot(7, 6, 5, "fifth"));

            assertThat(version()).isEqualTo(6);
            assertThat(document()).isEqualTo("sixth");
        }

        @Test
        void shouldNotStartWhenTheSnapshotEndsInsideTheGap() {
            register.handleGap(5);
            register.handle(snapshot(5, 4, 3, "third"));

            assertThat(register.awaitsSnapshot()).isTrue();
            assertThat(version()).isEqualTo(-1);
        }

        @Test
        void shouldNotStartWhenTheSnapshotNamesNoVersion() {
            register.handleGap(5);
            register.handle(snapshot(5, 5, -1, "none"));

            assertThat(register.awaitsSnapshot()).isTrue();
        }

        @Test
        void shouldKeepTheVersionInForceWhenASnapshotIsOlder() {
            register.handle(publication(0, "p", -1, "first"));
            register.handle(publication(1, "q", 0, "second"));
            register.handleGap(5);
            List<ConfigurationEvent> events = register.handle(snapshot(5, 5, 0, "first"));

            assertThat(events).containsExactly(new InvariantBroken(Breach.SNAPSHOT_DISAGREES, 0));
            assertThat(version()).isEqualTo(1);
        }
    }

    @Nested
    class Snapshots {
        @Test
        void shouldAgreeWhenTheSnapshotMatchesTheRecordsRead() {
            register.handle(publication(0, "p", -1, "first"));
            register.handle(publication(1, "q", 0, "second"));

            assertThat(register.handle(snapshot(2, 1, 0, "first")).get(0))
                    .isInstanceOf(ConfigurationEvent.SnapshotAgrees.class);
            assertThat(version()).isEqualTo(1);
        }

        @Test
        void shouldReportABreachWhenTheSnapshotDiffersFromTheRecordsRead() {
            register.handle(publication(0, "p", -1, "first"));

            assertThat(register.handle(snapshot(1, 1, 0, "forged")))
                    .containsExactly(new InvariantBroken(Breach.SNAPSHOT_DISAGREES, 0));
            assertThat(document()).isEqualTo("first");
        }
    }

    @Nested
    class Offers {
        @Test
        void shouldTakeTheHighestOfferWhenTheLogIsUnreachable() {
            register.handleLogUnreachable();
            register.handleOffer(7, "seventh");
            register.handleOffer(4, "fourth");

            assertThat(version()).isEqualTo(7);
        }

        @Test
        void shouldIgnoreAnOfferWhenTheLogIsFollowed() {
            register.handle(publication(0, "p", -1, "first"));
            register.handleEndOfLog(1);

            assertThat(register.handleOffer(7, "seventh")).isEmpty();
            assertThat(version()).isEqualTo(0);
        }

        @Test
        void shouldKeepAnOfferWhenTheLogIsStillBeingReadFromItsStart() {
            register.handleOffer(1, "second");
            register.handle(publication(0, "p", -1, "first"));
            assertThat(version()).isEqualTo(1);

            register.handle(publication(1, "q", 0, "second"));
            assertThat(register.inForce().map(ConfigurationInForce::confirmed).orElse(false))
                    .isTrue();
        }

        @Test
        void shouldDiscardTheOfferWhenTheLogHasAnotherDocument() {
            register.handleOffer(0, "forged");
            List<ConfigurationEvent> events = register.handle(publication(0, "p", -1, "first"));

            assertThat(events).contains(new InvariantBroken(Breach.OFFER_CONTRADICTED, 0));
            assertThat(document()).isEqualTo("first");
        }
    }
}
