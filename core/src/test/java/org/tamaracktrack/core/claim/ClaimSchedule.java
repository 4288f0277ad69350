package org.tamaracktrack.core.claim;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Random;
import org.tamaracktrack.core.error.ErrorCode;
import org.tamaracktrack.core.error.Ran;
import org.tamaracktrack.core.id.ClientAccountId;
import org.tamaracktrack.core.id.IncarnationId;
import org.tamaracktrack.core.log.LogEntry;
import org.tamaracktrack.core.log.LogRecord;

/**
 * Entry daemons that claim the same few keys against a log in memory, under a schedule drawn from a
 * seed: lost and delayed appends, lost answers, outages, pauses, crashes and expired records.
 */
final class ClaimSchedule {
    static final long WINDOW_MILLIS = 20_000;
    private static final int STEPS = 500;
    private static final int KEYS = 4;
    private static final ClaimLimits LIMITS = new ClaimLimits(1_000, 0, 0, 100);

    private final Random random;
    private final List<LogRecord> log = new ArrayList<>();
    private final List<LogEntry> delayed = new ArrayList<>();
    private final List<Daemon> daemons = new ArrayList<>();
    private final Map<String, List<Grant>> grants = new HashMap<>();
    private final Map<ErrorCode, Integer> refusals = new HashMap<>();
    private final boolean aged;
    private long firstOffset;
    private long nowMillis = 1_000_000;
    private long tickets;
    private int incarnations;
    private boolean outage;

    ClaimSchedule(long seed, int daemonCount, boolean aged) {
        this.random = new Random(seed);
        this.aged = aged;
        for (int count = 0; count < daemonCount; count++) {
            daemons.add(new Daemon());
        }
    }

    private static final class Grant {
        private final String key;
        private final long atMillis;
        private final long claim;
        private boolean mayHaveRun = true;

        private Grant(String key, long atMillis, long claim) {
            this.key = key;
            this.atMillis = atMillis;
            this.claim = claim;
        }
    }

    private final class Daemon {
        private final IncarnationId owner = IncarnationId.of("entry-" + incarnations++);
        private final ClaimKeeper keeper = ClaimKeeper.of(owner, LIMITS, WINDOW_MILLIS, nowMillis);
        private final Map<Long, String> asked = new HashMap<>();
        private final List<Grant> running = new ArrayList<>();
        private final Map<ClaimAction.Slot, LogEntry> appends = new HashMap<>();
        private long position;

        private void request() {
            int number = random.nextInt(KEYS);
            ClientAccountId account = ClientAccountId.of("account-" + random.nextInt(2));
            long ticket = tickets++;
            asked.put(ticket, account + "/" + number);
            OptionalLong created = aged ? OptionalLong.of(1_000_000) : OptionalLong.empty();
            carryOut(
                    keeper.claim(
                            new ClaimRequest(ticket, account, "key-" + number, "same", created),
                            nowMillis,
                            nowMillis + random.nextInt(1_000) - 500));
        }

        private void carryOut(List<ClaimAction> actions) {
            for (ClaimAction action : actions) {
                if (action instanceof ClaimAction.Append append) {
                    appends.put(append.slot(), append.entry());
                } else if (action instanceof ClaimAction.Granted granted) {
                    grant(asked.remove(granted.ticket()), granted.claim());
                } else if (action instanceof ClaimAction.Declined declined) {
                    asked.remove(declined.ticket());
                    refusals.merge(declined.code(), 1, Integer::sum);
                }
            }
        }

        private void grant(String key, long claim) {
            List<Grant> earlier = grants.computeIfAbsent(key, unused -> new ArrayList<>());
            long logMillis = log.get((int) position).appendedAtMillis();
            boolean second =
                    earlier.stream()
                            .filter(grant -> grant.mayHaveRun)
                            .anyMatch(grant -> aged || logMillis - grant.atMillis <= WINDOW_MILLIS);
            if (second) {
                throw new AssertionError("key " + key + " was granted twice");
            }
            Grant grant = new Grant(key, logMillis, claim);
            earlier.add(grant);
            running.add(grant);
        }

        private void finishOne() {
            if (!running.isEmpty()) {
                Grant grant = running.remove(random.nextInt(running.size()));
                Ran ran = Ran.values()[random.nextInt(3)];
                grant.mayHaveRun = ran != Ran.NO;
                carryOut(keeper.settle(grant.claim, ran, nowMillis));
            }
        }

        private void endAppend() {
            List<ClaimAction.Slot> slots = new ArrayList<>(appends.keySet());
            if (slots.isEmpty()) {
                return;
            }
            ClaimAction.Slot slot = slots.get(random.nextInt(slots.size()));
            LogEntry entry = appends.remove(slot);
            carryOut(keeper.appended(slot, append(entry), nowMillis));
        }

        private void read(int most) {
            if (position < firstOffset) {
                position = firstOffset;
                keeper.gap(firstOffset);
            }
            for (int count = 0; count < most && position < log.size(); count++) {
                List<ClaimAction> actions = keeper.handle(log.get((int) position), nowMillis);
                carryOut(actions);
                position++;
            }
            if (position == log.size()) {
                keeper.caughtUp();
            }
        }
    }

    private ClaimKeeper.AppendOutcome append(LogEntry entry) {
        if (outage || random.nextInt(12) == 0) {
            return ClaimKeeper.AppendOutcome.NOT_WRITTEN;
        }
        return switch (random.nextInt(8)) {
            case 0 -> ClaimKeeper.AppendOutcome.UNKNOWN;
            case 1 -> {
                delayed.add(entry);
                yield ClaimKeeper.AppendOutcome.UNKNOWN;
            }
            case 2 -> {
                write(entry);
                if (random.nextBoolean()) {
                    delayed.add(entry);
                }
                yield ClaimKeeper.AppendOutcome.UNKNOWN;
            }
            default -> {
                write(entry);
                yield ClaimKeeper.AppendOutcome.WRITTEN;
            }
        };
    }

    private void write(LogEntry entry) {
        log.add(LogRecord.of(log.size(), nowMillis, entry));
    }

    /** Runs the schedule; throws an {@link AssertionError} when a key is granted twice. */
    Result run() {
        for (int step = 0; step < STEPS; step++) {
            Daemon daemon = daemons.get(random.nextInt(daemons.size()));
            switch (random.nextInt(20)) {
                case 0, 1, 2, 3 -> daemon.request();
                case 4, 5, 6, 7 -> daemon.endAppend();
                case 8, 9, 10, 11 -> daemon.read(1 + random.nextInt(4));
                case 12, 13 -> daemon.finishOne();
                case 14, 15 -> daemon.carryOut(daemon.keeper.tick(nowMillis));
                case 16 -> nowMillis += random.nextInt(3) == 0 ? 8_000 : random.nextInt(600);
                case 17 -> land();
                case 18 -> disturb(daemon);
                default -> outage = random.nextInt(4) == 0;
            }
        }
        return new Result(grants.values().stream().mapToInt(List::size).sum(), refusals);
    }

    private void land() {
        if (!delayed.isEmpty()) {
            write(delayed.remove(random.nextInt(delayed.size())));
        }
    }

    private void disturb(Daemon daemon) {
        if (random.nextInt(6) == 0) {
            firstOffset += random.nextInt((int) (log.size() - firstOffset) + 1);
        } else if (random.nextInt(3) == 0) {
            daemons.set(daemons.indexOf(daemon), new Daemon());
        }
    }

    /** How much a schedule brought about. */
    record Result(int grants, Map<ErrorCode, Integer> refusals) {}
}
