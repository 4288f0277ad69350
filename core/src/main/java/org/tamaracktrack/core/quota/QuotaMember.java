package org.tamaracktrack.core.quota;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Consumer;
import org.tamaracktrack.core.dispatch.Peer;

/**
 * The part that one daemon takes in the quotas: it follows a coordinator, asks it before requests
 * are admitted, and is the coordinator of the daemons that follow it. Confined to the traffic
 * thread.
 */
public final class QuotaMember {
    /** Interval of {@link #tick}. */
    public static final long TICK_MILLIS = 50;

    private static final long PING_INTERVAL_MILLIS = 100;

    /** A question without an answer is asked again after this long. */
    private static final long REPEAT_MILLIS = 100;

    /** Longer than it takes to follow another coordinator when the previous one has ended. */
    private static final long DECISION_TIMEOUT_MILLIS = 1_500;

    private static final String NO_COORDINATOR = "-";

    private final String self;
    private final Transport transport;
    private final QuotaLedger ledger;
    private final KnownDaemons daemons = KnownDaemons.empty();
    private final CoordinatorChoice choice;
    private final Map<Long, Pending> pending = new LinkedHashMap<>();
    private long nextNumber;
    private long lastPingMillis = Long.MIN_VALUE / 2;

    /** Sends messages to other daemons. */
    public interface Transport {
        /**
         * Sends a message, which may be lost.
         *
         * @param address the address of the daemon
         * @param message the message
         */
        void send(String address, QuotaMessage message);
    }

    /**
     * The units that a request has taken from a quota.
     *
     * @param number the number of the question by which it was admitted
     * @param coordinator the address of the coordinator that admitted it
     */
    public record Permit(long number, String coordinator) {}

    /** A question that is not answered yet. */
    private static final class Pending {
        private final QuotaMessage.Ask ask;
        private final long askedMillis;
        private final Consumer<Decision> listener;
        private long sentMillis;

        private Pending(QuotaMessage.Ask ask, long askedMillis, Consumer<Decision> listener) {
            this.ask = ask;
            this.askedMillis = askedMillis;
            this.listener = listener;
            this.sentMillis = Long.MIN_VALUE / 2;
        }
    }

    /**
     * The decision about a request.
     *
     * @param admission the decision
     * @param permit what was taken; empty unless admitted
     */
    public record Decision(Admission admission, Optional<Permit> permit) {

        /**
         * Returns the decision about a request of an account without a quota.
         *
         * @return the decision
         */
        public static Decision unlimited() {
            return of(Admission.Outcome.ADMITTED);
        }

        /**
         * Returns the decision about a request when there is nobody to decide.
         *
         * @return the decision
         */
        public static Decision undecided() {
            return of(Admission.Outcome.UNDECIDED);
        }

        private static Decision of(Admission.Outcome outcome) {
            return new Decision(new Admission(outcome, 0, 0, NO_COORDINATOR), Optional.empty());
        }
    }

    private QuotaMember(String self, double tolerance, long firstNumber, Transport transport) {
        this.self = self;
        this.ledger = QuotaLedger.empty(tolerance);
        this.nextNumber = firstNumber;
        this.transport = transport;
        this.choice = CoordinatorChoice.of(self);
    }

    /**
     * Returns a member that knows no other daemon and follows itself.
     *
     * @param self the address of this daemon
     * @param tolerance units of each quota that may be used in addition to its burst
     * @param firstNumber the number of its first message, so that messages of earlier runs at the
     *     same address have other numbers
     * @param transport sends messages
     * @return the member
     */
    public static QuotaMember of(
            String self, double tolerance, long firstNumber, Transport transport) {
        Objects.requireNonNull(self, "self is null");
        Objects.requireNonNull(transport, "transport is null");
        return new QuotaMember(self, tolerance, firstNumber, transport);
    }

    /**
     * Sets whether callers that this daemon refuses as the coordinator return at different times.
     *
     * @param spreads whether they do; initially false
     */
    public void spreadReturns(boolean spreads) {
        ledger.spreadReturns(spreads);
    }

    /**
     * Applies a list of daemons that includes this one.
     *
     * @param listed the daemons
     * @param atMillis when the list was valid, by the monotonic clock, in milliseconds
     */
    public void updateDaemons(Collection<Peer> listed, long atMillis) {
        daemons.record(listed, atMillis);
        choice.updateRanking(daemons.ranking());
    }

    /**
     * Asks whether the quota of an account has room for a request.
     *
     * @param limit the quota
     * @param cost the units of the request
     * @param nowMillis the monotonic time in milliseconds
     * @param listener receives the decision, possibly before this method returns
     */
    public void acquire(QuotaLimit limit, long cost, long nowMillis, Consumer<Decision> listener) {
        QuotaMessage.Ask ask = new QuotaMessage.Ask(nextNumber++, limit, cost);
        Pending question = new Pending(ask, nowMillis, listener);
        pending.put(ask.number(), question);
        send(question, nowMillis);
    }

    private void send(Pending question, long nowMillis) {
        Optional<String> coordinator = choice.coordinator();
        if (coordinator.isEmpty()) {
            return;
        }
        question.sentMillis = nowMillis;
        if (coordinator.get().equals(self)) {
            settle(self, ledger.answer(self, question.ask, nowMillis), nowMillis);
        } else {
            transport.send(coordinator.get(), question.ask);
        }
    }

    private void settle(String coordinator, QuotaMessage.Answer answer, long nowMillis) {
        Pending question = pending.get(answer.number());
        if (question == null || isAskedAgain(question, answer, nowMillis)) {
            return;
        }
        pending.remove(answer.number());
        Admission admission =
                new Admission(
                        answer.outcome(),
                        answer.retryAfterMillis(),
                        nowMillis - question.askedMillis,
                        coordinator);
        boolean admitted = answer.outcome() == Admission.Outcome.ADMITTED;
        question.listener.accept(
                new Decision(
                        admission,
                        admitted
                                ? Optional.of(new Permit(answer.number(), coordinator))
                                : Optional.empty()));
    }

    /**
     * Returns whether a question has no decision yet. Questions expire only in ticks.
     *
     * @return true while there is one
     */
    public boolean isAsking() {
        return !pending.isEmpty();
    }

    // A new coordinator can't decide yet whether the account is over its quota.
    private static boolean isAskedAgain(
            Pending question, QuotaMessage.Answer answer, long nowMillis) {
        return answer.outcome() == Admission.Outcome.UNDECIDED
                && nowMillis - question.askedMillis <= DECISION_TIMEOUT_MILLIS;
    }

    /**
     * Returns the units of a request that certainly did not run.
     *
     * @param permit what the request had taken
     */
    public void giveBack(Permit permit) {
        QuotaMessage.GiveBack message = new QuotaMessage.GiveBack(permit.number());
        if (permit.coordinator().equals(self)) {
            ledger.giveBack(self, message);
        } else {
            transport.send(permit.coordinator(), message);
        }
    }

    /**
     * Handles a message of another daemon.
     *
     * @param from the address of the daemon
     * @param message the message
     * @param sentMillis the earliest time at which it may have been sent, by the monotonic clock,
     *     in milliseconds; an old vote may have moved since
     * @param nowMillis the monotonic time in milliseconds
     */
    public void receive(String from, QuotaMessage message, long sentMillis, long nowMillis) {
        if (!choice.isKnown(from)) {
            return;
        }
        if (message instanceof QuotaMessage.Ping ping) {
            ledger.recordVote(from, ping.vote(), sentMillis, nowMillis);
            daemons.recordCount(ping.knownDaemons(), nowMillis);
            transport.send(from, new QuotaMessage.Pong(ping.number(), daemons.count()));
        } else if (message instanceof QuotaMessage.Pong pong) {
            daemons.recordCount(pong.knownDaemons(), nowMillis);
            choice.recordAnswer(from, nowMillis);
            followPreferred(nowMillis);
        } else if (message instanceof QuotaMessage.Ask ask) {
            transport.send(from, ledger.answer(from, ask, nowMillis));
        } else if (message instanceof QuotaMessage.Answer answer) {
            settle(from, answer, nowMillis);
        } else if (message instanceof QuotaMessage.GiveBack giveBack) {
            ledger.giveBack(from, giveBack);
        }
    }

    /**
     * Sends what is due, and gives up questions that were not answered in time. Called every {@link
     * #TICK_MILLIS}.
     *
     * @param nowMillis the monotonic time in milliseconds
     */
    public void tick(long nowMillis) {
        ledger.advance(nowMillis);
        followPreferred(nowMillis);
        if (nowMillis - lastPingMillis >= PING_INTERVAL_MILLIS) {
            lastPingMillis = nowMillis;
            vote(nowMillis);
            choice.probes(nowMillis).forEach(address -> ping(address, 0, nowMillis));
        }
        expireQuestions(nowMillis);
    }

    private void followPreferred(long nowMillis) {
        if (choice.update(nowMillis)) {
            vote(nowMillis);
            List.copyOf(pending.values()).forEach(question -> send(question, nowMillis));
        }
    }

    private void vote(long nowMillis) {
        if (choice.coordinator().isEmpty()) {
            return;
        }
        String coordinator = choice.coordinator().get();
        double share = choice.keepsVoting(nowMillis) ? daemons.share(nowMillis) : 0;
        if (share > 0) {
            choice.recordVote(nowMillis);
        }
        if (coordinator.equals(self)) {
            ledger.recordVote(self, share, nowMillis, nowMillis);
        } else {
            ping(coordinator, share, nowMillis);
        }
    }

    private void ping(String address, double vote, long nowMillis) {
        choice.recordPing(address, nowMillis);
        transport.send(address, new QuotaMessage.Ping(nextNumber++, vote, daemons.count()));
    }

    private void expireQuestions(long nowMillis) {
        for (Pending question : new ArrayList<>(pending.values())) {
            if (nowMillis - question.askedMillis > DECISION_TIMEOUT_MILLIS) {
                QuotaMessage.Answer none =
                        new QuotaMessage.Answer(
                                question.ask.number(), Admission.Outcome.UNDECIDED, 0);
                settle(choice.coordinator().orElse(NO_COORDINATOR), none, nowMillis);
            } else if (nowMillis - question.sentMillis >= REPEAT_MILLIS) {
                send(question, nowMillis);
            }
        }
    }

    /**
     * Starts over after a freeze of the process. Votes, room and answers from before are void, and
     * this daemon's own vote counts as sent just now, since another coordinator may have it.
     *
     * @param nowMillis the monotonic time in milliseconds
     */
    public void restartAfterFreeze(long nowMillis) {
        ledger.restartAfterFreeze();
        daemons.restartAfterFreeze();
        choice.recordVote(nowMillis);
    }

    /**
     * Returns the address of the coordinator that this daemon follows.
     *
     * @return the address; empty while there is none
     */
    public Optional<String> coordinator() {
        return choice.coordinator();
    }

    /**
     * Returns this daemon's authority as a coordinator.
     *
     * @return the share of each quota that it may admit, from 0 to 1
     */
    public double authority() {
        return ledger.authority();
    }
}
