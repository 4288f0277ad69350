package org.tamaracktrack.core.fleet;

import static com.google.common.truth.Truth.assertThat;

import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.tamaracktrack.core.id.TargetId;

class FleetRegisterTest {
    private static final TargetId ONE = TargetId.of("one");
    private static final long RETURNED_AFTER = 2_250;

    private final FleetRegister register = FleetRegister.empty();

    /** A target is known, the registry goes away, and is back at 10,000 ms. */
    private void knowOneBeforeAnOutage() {
        register.accept(Targets.engine("one", Targets.HOME));
        register.away();
        register.back(10_000);
    }

    private boolean known() {
        return register.fleet().entry(ONE).isPresent();
    }

    @Nested
    class Entries {

        // A target crashes and starts again under its name. The entry of its first run is
        // delivered after that of the second. Requests would go to models that are gone.
        @Test
        void shouldKeepTheLaterRunWhenAnEntryOfAnEarlierOneComesLate() {
            register.accept(Targets.entry("one", 200, 1, false, Targets.HOME));

            register.accept(Targets.entry("one", 100, 9, false, Targets.HOME, "model"));

            assertThat(register.entry(ONE).orElseThrow().incarnation().startedAtMillis())
                    .isEqualTo(200);
        }

        // A target says that it leaves, and an older entry that calls it ready is read again after
        // records were forgotten. It must not get new work.
        @Test
        void shouldStayLeavingWhenAnOlderEntrySaysReady() {
            register.accept(Targets.entry("one", 100, 5, true, Targets.HOME));

            register.accept(Targets.entry("one", 100, 5, false, Targets.HOME));
            register.accept(Targets.entry("one", 100, 4, false, Targets.HOME));

            assertThat(register.entry(ONE).orElseThrow().leaving()).isTrue();
        }

        @Test
        void shouldTakeTheNewRunWhenATargetThatLeftStartsAgain() {
            register.accept(Targets.entry("one", 100, 5, true, Targets.HOME));

            register.accept(Targets.entry("one", 200, 1, false, Targets.HOME));

            assertThat(register.entry(ONE).orElseThrow().leaving()).isFalse();
        }
    }

    @Nested
    class Removal {

        @Test
        void shouldForgetAtOnceWhenTheRegistryIsCalm() {
            register.accept(Targets.engine("one", Targets.HOME));

            FleetRegister.Removal removal = register.removed(ONE, 10_000);

            assertThat(removal).isEqualTo(FleetRegister.Removal.DROPPED);
            assertThat(known()).isFalse();
        }

        @Test
        void shouldTellWhetherARemovedTargetIsStillUsed() {
            assertThat(register.removed(ONE, 10_000)).isEqualTo(FleetRegister.Removal.UNKNOWN);

            knowOneBeforeAnOutage();
            assertThat(register.removed(ONE, 10_010)).isEqualTo(FleetRegister.Removal.MISSING);
            assertThat(register.missing()).isEqualTo(1);
            assertThat(register.backForMillis(10_010)).isEqualTo(10);

            assertThat(register.expire(10_010 + RETURNED_AFTER)).containsExactly(ONE);
            assertThat(register.missing()).isEqualTo(0);
        }

        // The registry is away and entries lapse. Its return brings their removals first and the
        // entries of targets that live a second later. Callers would be refused meanwhile.
        @Test
        void shouldKeepALapsedTargetWhenItWritesItselfAgainInTime() {
            knowOneBeforeAnOutage();

            register.removed(ONE, 10_010);
            register.expire(10_000 + RETURNED_AFTER - 1);
            assertThat(known()).isTrue();
            register.accept(Targets.entry("one", 0, 2, false, Targets.HOME));
            register.expire(20_000);

            assertThat(known()).isTrue();
        }

        // A host was cut off alone. Nothing lapsed, and a target that left meanwhile is taken as
        // missing all the same; it closes its connections, as those that leave do. Callers'
        // requests would go on reaching it until its time is over.
        @Test
        void shouldForgetAMissingTargetThatClosesItsConnections() {
            knowOneBeforeAnOutage();
            register.removed(ONE, 10_010);

            assertThat(register.closing(Set.of(ONE))).containsExactly(ONE);

            assertThat(known()).isFalse();
        }

        // A target that the registry lists closes a connection now and then.
        @Test
        void shouldKeepAListedTargetThatClosesAConnection() {
            register.accept(Targets.engine("one", Targets.HOME));

            assertThat(register.closing(Set.of(ONE))).isEmpty();

            assertThat(known()).isTrue();
        }

        // The store goes away once more before all that lapsed could be written again. A target
        // that lives would be dropped, and its callers refused.
        @Test
        void shouldKeepAMissingTargetWhileAnotherOutageLasts() {
            knowOneBeforeAnOutage();
            register.removed(ONE, 10_010);
            register.away();

            register.expire(20_000);
            assertThat(known()).isTrue();

            register.back(21_000);
            register.expire(21_000 + RETURNED_AFTER);
            assertThat(known()).isFalse();
        }

        // A target died in an outage, and its entry lapsed. It must not get work for ever.
        @Test
        void shouldForgetALapsedTargetWhenItDoesNotComeBack() {
            knowOneBeforeAnOutage();

            register.removed(ONE, 10_010);
            register.expire(10_010 + RETURNED_AFTER);

            assertThat(known()).isFalse();
        }

        // A target's entry goes shortly before all that lapsed in an outage has to be back.
        // Callers' requests reached it more than two seconds after it had left, since its time
        // ran from the removal instead of the store's return. In a recorded day the daemons that
        // took the store for back 1.8 s before the removal used the target on; the one that did
        // so 2.7 s before dropped it at once.
        @Test
        void shouldForgetAMissingTargetOnceAllThatLapsedIsBack() {
            knowOneBeforeAnOutage();

            register.removed(ONE, 10_000 + RETURNED_AFTER - 1);
            register.expire(10_000 + RETURNED_AFTER);

            assertThat(known()).isFalse();
        }

        // Records were forgotten while this process did not read, among them a removal. The
        // listing lacks the target. Nothing lapsed, so it left, and callers' requests must not go
        // on
        // reaching it.
        @Test
        void shouldForgetATargetAtOnceWhenAListingLacksItAndTheRegistryIsCalm() {
            register.accept(Targets.engine("one", Targets.HOME));

            assertThat(register.listed(Set.of(), 10_000))
                    .containsExactly(ONE, FleetRegister.Removal.DROPPED);

            assertThat(known()).isFalse();
        }

        // The registry is listed anew after an outage. A target whose entry lapsed writes it again.
        @Test
        void shouldKeepATargetForAWhileWhenAListingAfterAnOutageLacksIt() {
            knowOneBeforeAnOutage();

            assertThat(register.listed(Set.of(), 10_010))
                    .containsExactly(ONE, FleetRegister.Removal.MISSING);
            register.expire(10_000 + RETURNED_AFTER - 1);
            assertThat(known()).isTrue();
            register.expire(10_000 + RETURNED_AFTER);

            assertThat(known()).isFalse();
        }
    }
}
