package org.tamaracktrack.core.lease;

import static com.google.common.truth.Truth.assertThat;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;
import org.tamaracktrack.core.id.IncarnationId;
import org.tamaracktrack.core.log.LogEntry;
import org.tamaracktrack.core.log.LogRecord;

class LeaseManagerTest {

    // Three entry daemons compete for the planner duty. Appends arrive seconds late, responses are
    // lost after the write took effect, the log is unavailable, and processes are paused for longer
    // than a lease. Two holders at the same time would plan conflicting moves.
    @Property(seed = "31", tries = 200)
    void shouldHaveAtMostOneValidHolderWhenProcessesPauseAndTheLogFails(
            @ForAll @LongRange(max = 1_000_000) long seed) {
        LeaseManagerScenario scenario = LeaseManagerScenario.of(seed);

        scenario.run(
                1_500,
                state -> {
                    assertThat(state.processesWithValidLease().size()).isAtMost(1);
                    state.processesWithValidLease()
                            .forEach(process -> assertThat(state.holder()).hasValue(process));
                });
    }

    // Failures end after such a history, possibly without a holder. Without a new claim no plan
    // would be made any more.
    @Property(seed = "32", tries = 100)
    void shouldHaveAHolderWhenFailuresEnd(@ForAll @LongRange(max = 1_000_000) long seed) {
        LeaseManagerScenario scenario = LeaseManagerScenario.of(seed);
        scenario.run(800, state -> {});

        scenario.endFailures();
        scenario.run(600, state -> {});

        assertThat(scenario.processesWithValidLease()).hasSize(1);
    }

    // A reader starts after the record of the first grant has expired from the log and reads
    // renewals only. It must derive the term that the plans of the holder carry, or it would drop
    // every plan.
    @Property(seed = "33", tries = 100)
    void shouldDeriveTheSameLeaseAsAFullReaderWhenTheGrantRecordHasExpired(
            @ForAll @LongRange(max = 1_000_000) long seed) {
        LeaseManagerScenario scenario = LeaseManagerScenario.of(seed);
        scenario.run(800, state -> {});
        scenario.endFailures();
        int expired = scenario.recordCount() / 2;

        scenario.run(600, state -> {});

        assertThat(scenario.readFrom(expired).last(Duty.PLANNER))
                .isEqualTo(scenario.readFrom(0).last(Duty.PLANNER));
    }

    // Regression: the first record of the new reader is a claim that readers of the whole log
    // refused.
    @Test
    void shouldDeriveTheSameLeaseAsAFullReaderWhenTheFirstRecordIsARefusedClaim() {
        shouldDeriveTheSameLeaseAsAFullReaderWhenTheGrantRecordHasExpired(1310);
    }

    @Test
    void shouldReleaseTheDutyImmediatelyWhenDraining() {
        IncarnationId self = IncarnationId.of("entry-1");
        LeaseManager manager = LeaseManager.of(Duty.PLANNER, self, 10_000, 0, 0);
        LogEntry claim = manager.tick(0).orElseThrow();
        manager.appended(0, 0);
        manager.handle(LogRecord.of(0, 5, claim), 10);
        assertThat(manager.term(20).isPresent()).isTrue();

        LogEntry release = manager.release(30).orElseThrow();

        assertThat(release).isEqualTo(new LogEntry.LeaseReleased("planner", self));
        assertThat(manager.term(31).isPresent()).isFalse();
        assertThat(manager.tick(60_000)).isEmpty();
    }

    @Test
    void shouldNotHoldTheLeaseWhenTheAppendResponseWasLost() {
        LeaseManager manager =
                LeaseManager.of(Duty.PLANNER, IncarnationId.of("entry-1"), 10_000, 0, 0);
        LogEntry claim = manager.tick(0).orElseThrow();
        manager.appendFailed(1_000);

        manager.handle(LogRecord.of(0, 500, claim), 1_500);

        assertThat(manager.term(1_600).isPresent()).isFalse();
        assertThat(manager.tick(2_100)).isPresent();
    }
}
