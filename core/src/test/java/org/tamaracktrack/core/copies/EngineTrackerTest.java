package org.tamaracktrack.core.copies;

import static com.google.common.truth.Truth.assertThat;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Group;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.tamaracktrack.core.fleet.HeldModel;
import org.tamaracktrack.core.fleet.TargetEntries;
import org.tamaracktrack.core.fleet.TargetIncarnation;
import org.tamaracktrack.core.id.AdapterId;
import org.tamaracktrack.core.id.ModelId;
import org.tamaracktrack.core.id.TargetId;

class EngineTrackerTest {
    private static final TargetIncarnation ENGINE = new TargetIncarnation(TargetId.of("engine"), 0);
    private static final ModelId HELD = ModelId.of("held");
    private static final ModelId NEXT = ModelId.of("next");

    private final EngineTracker tracker = EngineTracker.of(TargetEntries.HOME);

    private static EngineReport report(long orders, boolean busy, ModelId... models) {
        Map<ModelId, HeldModel> held = new HashMap<>();
        for (ModelId model : models) {
            held.put(model, new HeldModel(model, Set.of()));
        }
        return new EngineReport(orders, busy, 0, 0, held, Set.of(), Set.of(), Set.of());
    }

    private static PlacementOrder order(boolean load, ModelId model) {
        return new PlacementOrder(ENGINE, load, model, Optional.empty());
    }

    @BeforeEach
    void reportHeldModel() {
        tracker.applyReport(report(4, false, HELD), 0);
    }

    @Nested
    class Orders {

        @Test
        void shouldReturnTheNumberOfAcceptedOrdersWhenOrdersFollowEachOther() {
            PlacementOrder first =
                    new PlacementOrder(ENGINE, true, HELD, Optional.of(AdapterId.of("a1")));
            assertThat(tracker.beginOrder(first)).isEqualTo(4);
            tracker.orderAccepted(10);

            assertThat(tracker.beginOrder(first)).isEqualTo(5);
        }

        // An order without an answer may still be executed, so no further order may be issued
        // until a report shows its outcome.
        @Test
        void shouldNotBeIdleWhenAnOrderIsUnanswered() {
            tracker.beginOrder(order(true, NEXT));
            tracker.orderOutcomeUnknown();

            assertThat(tracker.idle()).isFalse();
            assertThat(tracker.needsReport(1_000)).isTrue();
            tracker.applyReport(report(5, true, HELD), 1_000);
            assertThat(tracker.idle()).isFalse();
            tracker.applyReport(report(5, false, HELD, NEXT), 2_000);
            assertThat(tracker.idle()).isTrue();
        }

        // Guards against a report from before an accepted order. It would make the engine appear
        // idle, and the next order would carry too small a number of accepted orders.
        @Test
        void shouldIgnoreAReportThatIsOlderThanTheLastOrder() {
            tracker.beginOrder(order(true, NEXT));
            tracker.orderAccepted(1_000);

            tracker.applyReport(report(4, false, HELD), 1_100);

            assertThat(tracker.idle()).isFalse();
            assertThat(tracker.holdsOrExpects(NEXT)).isTrue();
        }
    }

    @Nested
    class Reservations {

        @Test
        void shouldAllowTheReservedLoadOnceTheUnloadWasAccepted() {
            tracker.beginOrder(order(false, HELD));
            tracker.reserveFor(NEXT);
            assertThat(tracker.mayTryReservedLoad(0)).isFalse();

            tracker.orderAccepted(10);

            assertThat(tracker.mayTryReservedLoad(10)).isTrue();
            assertThat(tracker.holdsOrExpects(NEXT)).isTrue();
        }

        // Requests still run on the model that is being unloaded. The load is tried immediately,
        // again after a pause, and immediately when a report shows that the unload is complete.
        @Test
        void shouldRetryTheReservedLoadAfterAPauseWhenTheEngineIsStillBusy() {
            tracker.beginOrder(order(false, HELD));
            tracker.reserveFor(NEXT);
            tracker.orderAccepted(10);
            tracker.beginOrder(order(true, NEXT));
            tracker.reservedLoadRefused(NEXT, 20);

            assertThat(tracker.mayTryReservedLoad(100)).isFalse();
            assertThat(tracker.mayTryReservedLoad(170)).isTrue();
            tracker.reservedLoadRefused(NEXT, 990);
            tracker.applyReport(report(5, false), 1_000);
            assertThat(tracker.mayTryReservedLoad(1_000)).isTrue();
        }

        // Guards against an engine that stays reserved for good. Memory was freed, but the load
        // could not be ordered, because the weight store's rate was used up or an unanswered order
        // was executed late. Requests for all models were refused while the idle engine received
        // no order.
        @Test
        void shouldEndTheReservationWhenTheReservedModelIsNotLoaded() {
            tracker.beginOrder(order(false, HELD));
            tracker.reserveFor(NEXT);
            tracker.orderAccepted(10);
            tracker.applyReport(report(5, false), 1_000);
            assertThat(tracker.reservedModel()).isEqualTo(Optional.of(NEXT));
            assertThat(tracker.state()).isEqualTo(EngineState.RESERVED);

            tracker.applyReport(report(5, false), 2_000);

            assertThat(tracker.reservedModel()).isEmpty();
            assertThat(tracker.state()).isEqualTo(EngineState.IDLE);
        }

        @Test
        void shouldEndTheReservationWhenTheOutcomeOfTheUnloadIsUnknown() {
            tracker.beginOrder(order(false, HELD));
            tracker.reserveFor(NEXT);

            tracker.orderOutcomeUnknown();

            assertThat(tracker.holdsOrExpects(NEXT)).isFalse();
        }
    }

    /**
     * Covers orders that are lost, executed late, or refused. In all cases the engine has to become
     * available for orders again within a bounded time.
     */
    @Group
    @Nested
    class Faults {
        private static final long REPORT_INTERVAL_MILLIS = 300;
        private static final long RECOVERY_MILLIS = 5_000;

        // Guards against an engine that answers but receives no more orders, so that requests for
        // every model are refused. Orders are left unanswered, executed late after newer ones, or
        // refused; then the faults end.
        @Property(tries = 300, seed = "29")
        void shouldBecomeAvailableAgainWhenTheEngineAnswers(
                @ForAll @LongRange(min = 0, max = 1_000_000) long seed) {
            SplittableRandom random = new SplittableRandom(seed);
            EngineTracker faulty = EngineTracker.of(TargetEntries.HOME);
            long orders = 4;
            long nowMillis = 0;
            faulty.applyReport(report(orders, false, HELD), nowMillis);
            for (int count = 0; count < 40; count++) {
                nowMillis += 50 + random.nextInt(400);
                if (faulty.idle()) {
                    boolean unload = random.nextBoolean();
                    faulty.beginOrder(order(!unload, unload ? HELD : NEXT));
                    if (unload) {
                        faulty.reserveFor(NEXT);
                    }
                    orders += completeOrder(faulty, random, nowMillis);
                } else {
                    faulty.applyReport(report(orders, random.nextBoolean(), HELD), nowMillis);
                }
            }

            long recoveryStartMillis = nowMillis;
            while (!(faulty.idle() && faulty.reservedModel().isEmpty())) {
                nowMillis += REPORT_INTERVAL_MILLIS;
                faulty.applyReport(report(orders, false, HELD), nowMillis);
                assertThat(nowMillis - recoveryStartMillis).isAtMost(RECOVERY_MILLIS);
            }
        }

        /**
         * Completes the pending order in a random way and returns how many orders the engine
         * accepted.
         */
        private int completeOrder(EngineTracker faulty, SplittableRandom random, long nowMillis) {
            switch (random.nextInt(4)) {
                case 0 -> faulty.orderAccepted(nowMillis);
                case 1 -> faulty.reservedLoadRefused(NEXT, nowMillis);
                case 2 -> {
                    faulty.orderOutcomeUnknown();
                    return 0;
                }
                default -> faulty.orderOutcomeUnknown();
            }
            return 1;
        }
    }
}
