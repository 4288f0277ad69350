package org.tamaracktrack.core.admission;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.tamaracktrack.core.admission.HoldPolicy.Room;
import org.tamaracktrack.core.id.ClientAccountId;
import org.tamaracktrack.core.id.ServiceId;

class HeldRequestsTest {
    private static final int MAXIMUM_REQUESTS = 20;
    private static final int MAXIMUM_BYTES = 5_000;

    private static RequestTerms terms(
            String account, int priority, long objectiveMillis, long atMillis) {
        return new RequestTerms(
                ServiceId.of("engines"),
                "m",
                Optional.of(ClientAccountId.of(account)),
                priority,
                1_000,
                400,
                objectiveMillis,
                atMillis,
                atMillis + 4 * objectiveMillis,
                false);
    }

    private static RequestTerms random(Random random) {
        return terms(
                "a" + random.nextInt(3),
                random.nextInt(3),
                random.nextBoolean() ? 400 : 12_000,
                random.nextInt(1_000));
    }

    private static List<Integer> order(HeldRequests<Integer> held) {
        return held.inOrder(0).stream().map(HeldRequests.Held::id).toList();
    }

    // Guards against memory that grows with a burst, and against an urgent request that is refused
    // while a less urgent one is held.
    @Property(seed = "73", tries = 200)
    void shouldKeepBoundsAndMostUrgentRequests(@ForAll long seed) {
        Random random = new Random(seed);
        HeldRequests<Integer> held =
                HeldRequests.of(MAXIMUM_REQUESTS, MAXIMUM_BYTES, AccountUsage.none());
        for (int number = 0; number < 60; number++) {
            RequestTerms terms = random(random);
            List<Integer> removed =
                    held.add(number, terms, new HoldDecision.Hold(0, random.nextBoolean()), 0);

            assertThat(held.size()).isAtMost(MAXIMUM_REQUESTS);
            assertThat(held.bytes()).isAtMost(MAXIMUM_BYTES);
            removed.forEach(id -> assertThat(held.contains(id)).isFalse());
            if (removed.contains(number)) {
                held.inOrder(0)
                        .forEach(
                                each ->
                                        assertThat(each.terms().priority())
                                                .isAtMost(terms.priority()));
            }
        }
    }

    // Guards against a release that puts late or less urgent work first.
    @Property(seed = "74", tries = 200)
    void shouldOrderByPriorityThenInTime(@ForAll long seed) {
        Random random = new Random(seed);
        HeldRequests<Integer> held = HeldRequests.of(100, 1_000_000, AccountUsage.none());
        for (int number = 0; number < 40; number++) {
            held.add(number, random(random), new HoldDecision.Hold(0, random.nextBoolean()), 0);
        }

        List<Integer> ranks =
                held.inOrder(0).stream()
                        .map(each -> 2 * each.terms().priority() + (each.late() ? 1 : 0))
                        .toList();

        assertThat(ranks).isInOrder();
        assertThat(ranks).hasSize(40);
    }

    // Guards against a request that waits beyond the time at which it can still be of use.
    @Property(seed = "75", tries = 500)
    void shouldHoldNoRequestPastItsLimit(
            @ForAll long seed,
            @ForAll @IntRange(min = 0, max = 15_000) int nowMillis,
            @ForAll @IntRange(min = 0, max = 5_000) int firstPieceMillis) {
        Random random = new Random(seed);
        ServiceObjectives objectives = ServiceObjectives.empty();
        objectives.record(terms("a", 0, 400, 0), nowMillis);
        RequestTerms terms = random(random);
        HoldDecision decision =
                ObjectiveHoldPolicy.of(objectives)
                        .decide(
                                terms,
                                new HoldPolicy.Outlook(
                                        firstPieceMillis,
                                        random.nextBoolean() ? Room.UNQUEUED : Room.BUSY,
                                        random.nextBoolean(),
                                        random.nextBoolean()),
                                nowMillis);

        if (decision instanceof HoldDecision.Hold hold) {
            assertThat(hold.untilMillis()).isGreaterThan((long) nowMillis);
            assertThat(hold.untilMillis() + firstPieceMillis)
                    .isAtMost(hold.late() ? terms.leavesAtMillis() : terms.objectiveAtMillis());
        }
        if (nowMillis + firstPieceMillis > terms.leavesAtMillis()) {
            assertThat(decision).isInstanceOf(HoldDecision.Refuse.class);
        }
    }

    // Guards against a target to which nothing is sent any more because its last report, from
    // before it recovered, stated a long queue.
    @Property(seed = "76", tries = 200)
    void shouldSendOneRequestWhenExpectedTimeRestsOnOldReport(
            @ForAll long seed, @ForAll @IntRange(min = 0, max = 60_000) int firstPieceMillis) {
        RequestTerms terms = random(new Random(seed));

        assertThat(
                        ObjectiveHoldPolicy.of(ServiceObjectives.empty())
                                .decide(
                                        terms,
                                        new HoldPolicy.Outlook(
                                                firstPieceMillis, Room.OUTDATED, false, true),
                                        0))
                .isInstanceOf(HoldDecision.Send.class);
    }

    @Nested
    class Order {

        // Guards against a lasting overload in which each request is sent just when it becomes
        // late.
        @Test
        void shouldPutNewestUrgentRequestFirstWhileItIsInTime() {
            HeldRequests<Integer> held = HeldRequests.of(100, 1_000_000, AccountUsage.none());
            held.add(0, terms("a", 0, 400, 0), new HoldDecision.Hold(0, false), 0);
            held.add(1, terms("a", 0, 400, 50), new HoldDecision.Hold(0, false), 0);
            held.add(2, terms("a", 0, 400, 10), new HoldDecision.Hold(0, true), 0);
            held.add(3, terms("a", 0, 400, 20), new HoldDecision.Hold(0, true), 0);

            assertThat(order(held)).containsExactly(1, 0, 2, 3).inOrder();
        }

        // Guards against an account whose many requests displace the few of another.
        @Test
        void shouldTakeTurnsWhenAccountsHoldDifferentNumbers() {
            HeldRequests<Integer> held = HeldRequests.of(100, 1_000_000, AccountUsage.none());
            for (int number = 0; number < 10; number++) {
                held.add(number, terms("many", 0, 400, number), new HoldDecision.Hold(0, false), 0);
            }
            held.add(10, terms("few", 0, 400, 50), new HoldDecision.Hold(0, false), 0);
            held.add(11, terms("few", 0, 400, 60), new HoldDecision.Hold(0, false), 0);

            held.release(order(held).get(0));

            assertThat(order(held).subList(0, 4)).containsExactly(9, 10, 8, 7).inOrder();
        }

        // Guards against callers that return while those before them still wait.
        @Test
        void shouldCountTokensOfRequestsThatAreNotLessUrgent() {
            HeldRequests<Integer> held = HeldRequests.of(100, 1_000_000, AccountUsage.none());
            held.add(0, terms("a", 0, 400, 0), new HoldDecision.Hold(0, true), 0);
            held.add(1, terms("a", 1, 400, 0), new HoldDecision.Hold(0, true), 0);
            held.add(2, terms("a", 2, 12_000, 0), new HoldDecision.Hold(0, false), 0);

            assertThat(held.tokensAhead(terms("b", 1, 400, 5))).isEqualTo(2_000);
        }

        // Guards against an account that takes turns with small ones while it uses most of a
        // service.
        @Test
        void shouldPutExcessiveAccountBehindOthers() {
            HeldRequests<Integer> held =
                    HeldRequests.of(
                            100,
                            1_000_000,
                            (service, account, nowMillis) ->
                                    account.value().equals("many") ? 2.5 : 0.5);
            held.add(0, terms("many", 0, 400, 0), new HoldDecision.Hold(0, false), 0);
            held.add(1, terms("few", 0, 400, 50), new HoldDecision.Hold(0, false), 0);
            held.add(2, terms("few", 0, 400, 60), new HoldDecision.Hold(0, false), 0);

            assertThat(order(held)).containsExactly(2, 1, 0).inOrder();
        }
    }

    @Nested
    class FrozenClock {

        // Guards against a process that was stopped for a while and then releases one request per
        // missed pass.
        @Test
        void shouldDecideAllDueRequestsInOnePassWhenClockHasJumped() {
            HeldRequests<Integer> held = HeldRequests.of(100, 1_000_000, AccountUsage.none());
            for (int number = 0; number < 30; number++) {
                held.add(
                        number,
                        terms("a", 2, 12_000, 100 - number),
                        new HoldDecision.Hold(1_000 + number, false),
                        0);
            }
            List<Integer> decided = new ArrayList<>();

            boolean leftOver =
                    ReleasePass.create()
                            .run(
                                    held,
                                    9_000,
                                    id -> {
                                        decided.add(id);
                                        return held.release(id).isPresent();
                                    });

            assertThat(leftOver).isFalse();
            assertThat(held.size()).isEqualTo(0);
            // The last one to arrive has the earliest deadline.
            assertThat(decided).isInStrictOrder(Comparator.reverseOrder());
        }
    }
}
