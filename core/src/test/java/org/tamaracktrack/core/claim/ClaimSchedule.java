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
 * Simulates entry daemons that claim the same few keys in an in-memory log, under a random schedule
 * drawn from a seed: lost and delayed appends, lost responses, outages, pauses, crashes and expired
 * records.
 */
final class ClaimSchedule {
    static final long WINDOW_MILLIS = 20_000;
    private static final int STEPS = 500;
    private static final int KEYS = 4;
    private static final ClaimLimits LIMITS = new ClaimLimits(1_000, 0, 0, 100);

    private final Random random;
    private final List<LogRecord> log = new ArrayList<>();
    private final List<LogEntry> delayedAppends = new ArrayList<>();
    private final List<Daemon> daemons = new ArrayList<>();
    private final Map<String, List<Grant>> grants = new HashMap<>();
    private final Map<ErrorCode, Integer> refusals = new HashMap<>();
    private final boolean keysCarryTime;
    private long firstOffset;
    private long nowMillis = 1_000_000;
    private long tickets;
    private int incarnations;
    private boolean outage;

    ClaimSchedule(long seed, int daemonCount, boolean keysCarryTime) {
        this.random = new Random(seed);
        this.keysCarryTime = keysCarryTime;
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
        private final ClaimManager manager =
                ClaimManager.of(owner, LIMITS, WINDOW_MILLIS, nowMillis);
        private final Map<Long, String> keysByTicket = new HashMap<>();
        private final List<Grant> running = new ArrayList<>();
        private final Map<ClaimAction.AppendKind, LogEntry> appendsInProgress = new HashMap<>();
        private long position;

        private void request() {
            int number = random.nextInt(KEYS);
            ClientAccountId account = ClientAccountId.of("account-" + random.nextInt(2));
            long ticket = tickets++;
            keysByTicket.put(ticket, account + "/" + number);
            OptionalLong created =
                    keysCarryTime ? OptionalLong.of(1_000_000) : OptionalLong.empty();
            execute(
                    manager.claim(
                            new ClaimRequest(ticket, account, "key-" + number, "same", created),
                            nowMillis,
                            nowMillis + random.nextInt(1_000) - 500));
        }

        private void execute(List<ClaimAction> actions) {
            for (ClaimAction action : actions) {
                if (action instanceof ClaimAction.Append append) {
                    appendsInProgress.put(append.kind(), append.entry());
                } else if (action instanceof ClaimAction.Granted granted) {
                    grant(keysByTicket.remove(granted.ticket()), granted.claim());
                } else if (action instanceof ClaimAction.Declined declined) {
                    keysByTicket.remove(declined.ticket());
                    refusals.merge(declined.code(), 1, Integer::sum);
                }
            }
        }

        private void grant(String key, long claim) {
            List<Grant> earlier = grants.computeIfAbsent(key, unused -> new ArrayList<>());
            long logMillis = log.get((int) position).appendedAtMillis();
            boolean alreadyGranted =
                    earlier.stream()
                            .filter(grant -> grant.mayHaveRun)
                            .anyMatch(
                                    grant ->
                                            keysCarryTime
                                                    || logMillis - grant.atMillis <= WINDOW_MILLIS);
            if (alreadyGranted) {
                throw new AssertionError("key " + key + " was granted twice");
            }
            Grant grant = new Grant(key, logMillis, claim);
            earlier.add(grant);
            running.add(grant);
        }

        private void finishRequest() {
            if (!running.isEmpty()) {
                Grant grant = running.remove(random.nextInt(running.size()));
                Ran ran = Ran.values()[random.nextInt(3)];
                grant.mayHaveRun = ran != Ran.NO;
                execute(manager.settle(grant.claim, ran, nowMillis));
            }
        }

        private void finishAppend() {
            List<ClaimAction.AppendKind> kinds = new ArrayList<>(appendsInProgress.keySet());
            if (kinds.isEmpty()) {
                return;
            }
            ClaimAction.AppendKind kind = kinds.get(random.nextInt(kinds.size()));
            LogEntry entry = appendsInProgress.remove(kind);
            execute(manager.appended(kind, append(entry), nowMillis));
        }

        private void read(int maximum) {
            if (position < firstOffset) {
                position = firstOffset;
                manager.recordsExpired(firstOffset);
            }
            for (int count = 0; count < maximum && position < log.size(); count++) {
                List<ClaimAction> actions = manager.handle(log.get((int) position), nowMillis);
                execute(actions);
                position++;
            }
            if (position == log.size()) {
                manager.caughtUp();
            }
        }
    }

    private ClaimManager.AppendOutcome append(LogEntry entry) {
        if (outage || random.nextInt(12) == 0) {
            return ClaimManager.AppendOutcome.NOT_WRITTEN;
        }
        return switch (random.nextInt(8)) {
            case 0 -> ClaimManager.AppendOutcome.UNKNOWN;
            case 1 -> {
                delayedAppends.add(entry);
                yield ClaimManager.AppendOutcome.UNKNOWN;
            }
            case 2 -> {
                write(entry);
                if (random.nextBoolean()) {
                    delayedAppends.add(entry);
                }
                yield ClaimManager.AppendOutcome.UNKNOWN;
            }
            default -> {
                write(entry);
                yield ClaimManager.AppendOutcome.WRITTEN;
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
                case 4, 5, 6, 7 -> daemon.finishAppend();
                case 8, 9, 10, 11 -> daemon.read(1 + random.nextInt(4));
                case 12, 13 -> daemon.finishRequest();
                case 14, 15 -> daemon.execute(daemon.manager.tick(nowMillis));
                case 16 -> nowMillis += random.nextInt(3) == 0 ? 8_000 : random.nextInt(600);
                case 17 -> writeDelayed();
                case 18 -> injectFailure(daemon);
                default -> outage = random.nextInt(4) == 0;
            }
        }
        return new Result(grants.values().stream().mapToInt(List::size).sum(), refusals);
    }

    private void writeDelayed() {
        if (!delayedAppends.isEmpty()) {
            write(delayedAppends.remove(random.nextInt(delayedAppends.size())));
        }
    }

    private void injectFailure(Daemon daemon) {
        if (random.nextInt(6) == 0) {
            firstOffset += random.nextInt((int) (log.size() - firstOffset) + 1);
        } else if (random.nextInt(3) == 0) {
            daemons.set(daemons.indexOf(daemon), new Daemon());
        }
    }

    /** The number of grants and refusals of a schedule. */
    record Result(int grants, Map<ErrorCode, Integer> refusals) {}
}
