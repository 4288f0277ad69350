package org.tamaracktrack.core.quota;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;

/**
 * Which daemon this one follows as coordinator: the first of the ranking that answers. A daemon
 * moves its vote only after the vote for the previous coordinator has expired there. Confined to
 * the traffic thread.
 */
final class CoordinatorChoice {
    /** Without an answer for this long a daemon counts as unreachable. */
    private static final long SILENCE_MILLIS = 400;

    /** A coordinator that does not answer gets no further votes, so that they expire earlier. */
    private static final long DOUBT_MILLIS = 150;

    /** Interval at which unreachable daemons are tried again. */
    private static final long RETRY_MILLIS = 1_000;

    /** Added to the validity of a vote, for its way and for the interval of expiry checks. */
    private static final long VOTE_MARGIN_MILLIS = 2 * QuotaMember.TICK_MILLIS;

    /** Bound of the daemons that are tried at the same time. */
    private static final int MAX_PROBES = 6;

    private static final long NEVER = Long.MIN_VALUE / 2;

    private final String self;
    private final Map<String, Contact> contacts = new HashMap<>();
    private List<String> ranking;
    private Optional<String> coordinator = Optional.empty();
    private long lastVoteMillis = NEVER;

    /** What is known about the reachability of another daemon. */
    private static final class Contact {
        private long answeredMillis = NEVER;
        private long unansweredSinceMillis = Long.MAX_VALUE;
        private long lastPingMillis = NEVER;

        private boolean isAlive(long nowMillis) {
            return nowMillis - answeredMillis <= SILENCE_MILLIS;
        }

        private boolean isUnansweredFor(long millis, long nowMillis) {
            return unansweredSinceMillis != Long.MAX_VALUE
                    && nowMillis - unansweredSinceMillis > millis;
        }
    }

    private CoordinatorChoice(String self) {
        this.self = self;
        this.ranking = List.of(self);
    }

    static CoordinatorChoice of(String self) {
        return new CoordinatorChoice(self);
    }

    void updateRanking(List<String> newRanking) {
        ranking = List.copyOf(newRanking);
        contacts.keySet().retainAll(ranking);
    }

    boolean isKnown(String address) {
        return ranking.contains(address);
    }

    /** Returns the daemon that this one votes for and asks; empty while the vote moves. */
    Optional<String> coordinator() {
        return coordinator;
    }

    /** Records that a vote is sent to the coordinator. */
    void recordVote(long nowMillis) {
        lastVoteMillis = nowMillis;
    }

    void recordPing(String address, long nowMillis) {
        Contact contact = contact(address);
        contact.lastPingMillis = nowMillis;
        contact.unansweredSinceMillis = Math.min(contact.unansweredSinceMillis, nowMillis);
    }

    void recordAnswer(String address, long nowMillis) {
        Contact contact = contact(address);
        contact.answeredMillis = nowMillis;
        contact.unansweredSinceMillis = Long.MAX_VALUE;
    }

    private Contact contact(String address) {
        return contacts.computeIfAbsent(address, key -> new Contact());
    }

    /**
     * Follows the preferred coordinator if that is possible now.
     *
     * @return whether the coordinator has changed
     */
    boolean update(long nowMillis) {
        Optional<String> preferred = preferred(nowMillis);
        if (preferred.equals(coordinator)) {
            return false;
        }
        boolean lost =
                coordinator
                        .filter(address -> !address.equals(self))
                        .filter(address -> !isKnown(address) || isUnreachable(address, nowMillis))
                        .isPresent();
        boolean mayMove =
                preferred.isPresent()
                        && isAlive(preferred.get(), nowMillis)
                        && nowMillis - lastVoteMillis
                                > QuotaLedger.VOTE_VALIDITY_MILLIS + VOTE_MARGIN_MILLIS;
        if (mayMove) {
            coordinator = preferred;
        } else if (lost) {
            coordinator = Optional.empty();
        }
        return mayMove || lost;
    }

    /** Returns whether the coordinator gets further votes; if not, the vote is about to move. */
    boolean keepsVoting(long nowMillis) {
        if (coordinator.filter(address -> isInDoubt(address, nowMillis)).isPresent()) {
            return false;
        }
        Optional<String> preferred = preferred(nowMillis);
        return preferred.equals(coordinator)
                || preferred.filter(address -> isAlive(address, nowMillis)).isEmpty();
    }

    private boolean isInDoubt(String address, long nowMillis) {
        return !address.equals(self) && contact(address).isUnansweredFor(DOUBT_MILLIS, nowMillis);
    }

    private Optional<String> preferred(long nowMillis) {
        return ranking.stream()
                .filter(address -> address.equals(self) || !isUnreachable(address, nowMillis))
                .findFirst();
    }

    private boolean isAlive(String address, long nowMillis) {
        return address.equals(self) || contact(address).isAlive(nowMillis);
    }

    private boolean isUnreachable(String address, long nowMillis) {
        return contact(address).isUnansweredFor(SILENCE_MILLIS, nowMillis);
    }

    /** Returns the daemons to ping, other than the coordinator. */
    List<String> probes(long nowMillis) {
        boolean inDoubt = coordinator.filter(address -> isInDoubt(address, nowMillis)).isPresent();
        return ranking.stream()
                .takeWhile(address -> inDoubt || !isFollowed(address))
                .filter(address -> !isFollowed(address))
                .filter(
                        address ->
                                !isUnreachable(address, nowMillis)
                                        || nowMillis - contact(address).lastPingMillis
                                                >= RETRY_MILLIS)
                .limit(MAX_PROBES)
                .collect(Collectors.toList());
    }

    private boolean isFollowed(String address) {
        return address.equals(self) || coordinator.filter(address::equals).isPresent();
    }
}
