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
import org.tamaracktrack.core.fleet.TargetIncarnation;
import org.tamaracktrack.core.fleet.Targets;
import org.tamaracktrack.core.id.AdapterId;
import org.tamaracktrack.core.id.ModelId;
import org.tamaracktrack.core.id.TargetId;

class EngineBookTest {
    private static final TargetIncarnation ENGINE = new TargetIncarnation(TargetId.of("engine"), 0);
    private static final ModelId HELD = ModelId.of("held");
    private static final ModelId NEXT = ModelId.of("next");

    private final EngineBook book = EngineBook.of(Targets.HOME);

    private static EngineReport report(long orders, boolean busy, ModelId... models) {
        Map<ModelId, HeldModel> held = new HashMap<>();
        for (ModelId model : models) {
            held.put(model, new HeldModel(model, Set.of()));
        }
        return new EngineReport(orders, busy, 0, 0, held, Set.of(), Set.of(), Set.of());
    }

    private static EngineOrder order(boolean load, ModelId model) {
        return new EngineOrder(ENGINE, load, model, Optional.empty());
    }

    @BeforeEach
    void begin() {
        book.report(report(4, false, HELD), 0);
    }

    @Nested
    class Orders {

        @Test
        void shouldNameTheOrdersAcceptedBeforeWhenOrdersFollowEachOther() {
            EngineOrder first =
                    new EngineOrder(ENGINE, true, HELD, Optional.of(AdapterId.of("a1")));
            assertThat(book.sending(first)).isEqualTo(4);
            book.accepted(10);

            assertThat(book.sending(first)).isEqualTo(5);
        }

        // An order is sent and no answer comes. It may still be carried out, so nothing more is
        // ordered until a report tells what became of it.
        @Test
        void shouldNotBeIdleWhenAnOrderIsUnanswered() {
            book.sending(order(true, NEXT));
            book.unsettled();

            assertThat(book.idle()).isFalse();
            assertThat(book.wantsReport(1_000)).isTrue();
            book.report(report(5, true, HELD), 1_000);
            assertThat(book.idle()).isFalse();
            book.report(report(5, false, HELD, NEXT), 2_000);
            assertThat(book.idle()).isTrue();
        }

        // A report that was under way when an order was accepted shows the time before. Believed,
        // the engine would look idle and the next order would name too small a count.
        @Test
        void shouldIgnoreAReportThatIsOlderThanTheLastOrder() {
            book.sending(order(true, NEXT));
            book.accepted(1_000);

            book.report(report(4, false, HELD), 1_100);

            assertThat(book.idle()).isFalse();
            assertThat(book.has(NEXT)).isTrue();
        }
    }

    @Nested
    class Room {

        @Test
        void shouldLoadTheSuccessorOnceTheUnloadWasAccepted() {
            book.sending(order(false, HELD));
            book.makingRoomFor(NEXT);
            assertThat(book.successorMayFollow(0)).isFalse();

            book.accepted(10);

            assertThat(book.successorMayFollow(10)).isTrue();
            assertThat(book.has(NEXT)).isTrue();
        }

        // Requests still run on the model that makes room. The load is tried at once, again after a
        // pause, and at once when a report shows that the engine is done.
        @Test
        void shouldTryAgainAfterAPauseWhenTheEngineIsStillBusy() {
            book.sending(order(false, HELD));
            book.makingRoomFor(NEXT);
            book.accepted(10);
            book.sending(order(true, NEXT));
            book.successorNotTaken(NEXT, 20);

            assertThat(book.successorMayFollow(100)).isFalse();
            assertThat(book.successorMayFollow(170)).isTrue();
            book.successorNotTaken(NEXT, 990);
            book.report(report(5, false), 1_000);
            assertThat(book.successorMayFollow(1_000)).isTrue();
        }

        // Room is made, and the load that it is for can't be given: the weight store is to be
        // spared, or an order without an answer was carried out late. Callers of all models see
        // refusals while the engine, free and reserved, gets no order for the rest of the day.
        @Test
        void shouldBeFreeForOtherModelsWhenTheSuccessorIsNotLoaded() {
            book.sending(order(false, HELD));
            book.makingRoomFor(NEXT);
            book.accepted(10);
            book.report(report(5, false), 1_000);
            assertThat(book.successor()).isEqualTo(Optional.of(NEXT));
            assertThat(book.state()).isEqualTo(EngineState.RESERVED);

            book.report(report(5, false), 2_000);

            assertThat(book.successor()).isEmpty();
            assertThat(book.state()).isEqualTo(EngineState.IDLE);
        }

        @Test
        void shouldForgetTheSuccessorWhenRoomCouldNotBeMade() {
            book.sending(order(false, HELD));
            book.makingRoomFor(NEXT);

            book.unsettled();

            assertThat(book.has(NEXT)).isFalse();
        }
    }

    /**
     * An engine that carries orders out, and a giver whose orders are lost, answered and carried
     * out late, or refused. Whatever happened, the engine takes orders again within a bounded time.
     */
    @Group
    @Nested
    class Faults {
        private static final long REPORT_EVERY_MILLIS = 300;
        private static final long CALM_MILLIS = 5_000;

        // Callers of every model see refusals while an engine that answers gets no more orders.
        // Orders are unanswered, carried out late after newer ones, or refused; then all is calm.
        @Property(tries = 300, seed = "29")
        void shouldTakeOrdersAgainWhenTheEngineAnswers(
                @ForAll @LongRange(min = 0, max = 1_000_000) long seed) {
            SplittableRandom random = new SplittableRandom(seed);
            EngineBook any = EngineBook.of(Targets.HOME);
            long orders = 4;
            long nowMillis = 0;
            any.report(report(orders, false, HELD), nowMillis);
            for (int count = 0; count < 40; count++) {
                nowMillis += 50 + random.nextInt(400);
                if (any.idle()) {
                    boolean room = random.nextBoolean();
                    any.sending(order(!room, room ? HELD : NEXT));
                    if (room) {
                        any.makingRoomFor(NEXT);
                    }
                    orders += settle(any, random, nowMillis);
                } else {
                    any.report(report(orders, random.nextBoolean(), HELD), nowMillis);
                }
            }

            long calmFrom = nowMillis;
            while (!(any.idle() && any.successor().isEmpty())) {
                nowMillis += REPORT_EVERY_MILLIS;
                any.report(report(orders, false, HELD), nowMillis);
                assertThat(nowMillis - calmFrom).isAtMost(CALM_MILLIS);
            }
        }

        /** Returns how many orders the engine has accepted more. */
        private int settle(EngineBook any, SplittableRandom random, long nowMillis) {
            switch (random.nextInt(4)) {
                case 0 -> any.accepted(nowMillis);
                case 1 -> any.successorNotTaken(NEXT, nowMillis);
                case 2 -> {
                    any.unsettled();
                    return 0;
                }
                default -> any.unsettled();
            }
            return 1;
        }
    }
}
