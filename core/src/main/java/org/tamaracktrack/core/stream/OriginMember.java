package org.tamaracktrack.core.stream;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.tamaracktrack.core.dispatch.Peer;
import org.tamaracktrack.core.fleet.FleetSnapshot;
import org.tamaracktrack.core.id.ServiceId;
import org.tamaracktrack.core.id.SoftwareVersion;

/**
 * The part that one daemon takes in remembering where streams began. What two software versions of
 * a service write does not fit together, and the caller that takes up a stream names an attempt,
 * not a version. Confined to the traffic thread.
 *
 * <p>A daemon that begins a stream sends its origin to a few other daemons, in case it ends. A
 * daemon at which a stream is taken up asks them. An unknown origin is never guessed. While a
 * service has one version only, no messages are sent.
 */
public final class OriginMember {
    /** Interval of {@link #tick}. */
    public static final long TICK_MILLIS = 50;

    /** Daemons that keep the origin of a stream, besides the one that began it. */
    private static final int KEEPERS = 3;

    /** More than the keepers, since lists of daemons differ while daemons start and end. */
    private static final int ASKED_DAEMONS = 5;

    /** Origins in one message, which has to fit into a datagram. */
    private static final int MAX_STREAMS_PER_NOTICE = 40;

    private static final long REPEAT_MILLIS = 75;
    private static final long TIMEOUT_MILLIS = 300;

    /** Lists of a new holder of the lease are incomplete at first. */
    private static final long LIST_RETENTION_MILLIS = 15_000;

    /** Callers do not take up a stream that began longer ago, unless a route allows more time. */
    private static final long MIN_RETENTION_MILLIS = 60_000;

    private static final long EXPIRY_INTERVAL_MILLIS = 1_000;

    private final String self;
    private final Transport transport;
    private final OriginRegister register = OriginRegister.empty();
    private final VersionHistory history = VersionHistory.empty();
    private final Map<Peer, Long> listedMillis = new HashMap<>();
    private final Map<Long, Search> searches = new LinkedHashMap<>();
    private final Set<ServiceId> singleVersionServices = new HashSet<>();
    private FleetSnapshot fleet = FleetSnapshot.empty();
    private long retentionMillis = MIN_RETENTION_MILLIS;
    private long nextNumber;
    private long expiredMillis = Long.MIN_VALUE / 2;
    private boolean earlierVersionsKnown;

    /** Sends messages to other daemons. */
    public interface Transport {
        /**
         * Sends a message, which may be lost.
         *
         * @param address the address of the daemon
         * @param message the message
         */
        void send(String address, OriginMessage message);
    }

    private static final class Search {
        private final OriginMessage.Question question;
        private final Set<String> unanswered;
        private final boolean registryIsFresh;
        private final Consumer<OriginFinding> listener;
        private final long beganMillis;
        private final List<Optional<SoftwareVersion>> onlyVersions = new ArrayList<>();
        private long sentMillis;

        private Search(
                OriginMessage.Question question,
                Collection<String> asked,
                boolean registryIsFresh,
                long beganMillis,
                Consumer<OriginFinding> listener) {
            this.question = question;
            this.unanswered = new HashSet<>(asked);
            this.registryIsFresh = registryIsFresh;
            this.beganMillis = beganMillis;
            this.listener = listener;
        }
    }

    private OriginMember(String self, long firstNumber, Transport transport) {
        this.self = self;
        this.nextNumber = firstNumber;
        this.transport = transport;
    }

    /**
     * Returns a member that knows no other daemon and no stream.
     *
     * @param self the address of this daemon
     * @param firstNumber the number of its first question, so that questions of earlier runs at the
     *     same address have other numbers
     * @param transport sends messages
     * @return the member
     */
    public static OriginMember of(String self, long firstNumber, Transport transport) {
        Objects.requireNonNull(self, "self is null");
        Objects.requireNonNull(transport, "transport is null");
        return new OriginMember(self, firstNumber, transport);
    }

    /**
     * Sets the longest time for which a response may last.
     *
     * @param millis the longest timeout of all routes, in milliseconds
     */
    public void updateLongestTimeout(long millis) {
        retentionMillis = Math.max(MIN_RETENTION_MILLIS, 2 * millis);
    }

    /**
     * Applies a list of daemons. Daemons that are new on it receive the origins that they keep.
     *
     * @param listed the daemons
     * @param nowMillis the monotonic time in milliseconds
     */
    public void updateDaemons(Collection<Peer> listed, long nowMillis) {
        Set<String> joined =
                listed.stream()
                        .filter(peer -> !listedMillis.containsKey(peer))
                        .map(Peer::address)
                        .filter(address -> !address.equals(self))
                        .collect(Collectors.toSet());
        Set<String> addresses = listed.stream().map(Peer::address).collect(Collectors.toSet());
        // A restarted daemon has the address of the run before.
        listedMillis.keySet().removeIf(peer -> addresses.contains(peer.address()));
        listed.forEach(peer -> listedMillis.put(peer, nowMillis));
        listedMillis.values().removeIf(at -> nowMillis - at > LIST_RETENTION_MILLIS);
        if (!joined.isEmpty()) {
            sendNotices(
                    register.own()
                            .filter(record -> hasSeveralVersions(record.origin().service()))
                            .collect(Collectors.toList()),
                    joined);
        }
    }

    private boolean hasSeveralVersions(ServiceId service) {
        return onlyVersion(service).isEmpty();
    }

    // The listed targets of a daemon that has just started do not show which versions served
    // before.
    private Optional<SoftwareVersion> onlyVersion(ServiceId service) {
        return earlierVersionsKnown ? history.only(service) : Optional.empty();
    }

    /**
     * Applies the versions that served before the start of this daemon. Until then no origin is
     * derived from the known targets.
     *
     * @param versions the versions by service
     * @param nowMillis the monotonic time in milliseconds
     */
    public void recordEarlierVersions(
            Map<ServiceId, Set<SoftwareVersion>> versions, long nowMillis) {
        versions.forEach(
                (service, served) ->
                        served.forEach(version -> history.observe(service, version, nowMillis)));
        earlierVersionsKnown = true;
        announceServicesWithSecondVersion();
    }

    /**
     * Applies the known targets. When a service gets a second version, the origins of its recent
     * streams are sent to their keepers, since from now on they can't be derived any more.
     *
     * @param newer the targets
     * @param nowMillis the monotonic time in milliseconds
     */
    public void updateFleet(FleetSnapshot newer, long nowMillis) {
        history.observe(fleet, nowMillis);
        fleet = newer;
        history.observe(fleet, nowMillis);
        announceServicesWithSecondVersion();
    }

    private void announceServicesWithSecondVersion() {
        Set<ServiceId> changed =
                singleVersionServices.stream()
                        .filter(this::hasSeveralVersions)
                        .collect(Collectors.toSet());
        singleVersionServices.clear();
        history.services().stream()
                .filter(service -> onlyVersion(service).isPresent())
                .forEach(singleVersionServices::add);
        if (!changed.isEmpty()) {
            sendNotices(
                    register.own()
                            .filter(record -> changed.contains(record.origin().service()))
                            .collect(Collectors.toList()),
                    otherAddresses());
        }
    }

    private Set<String> otherAddresses() {
        return others().stream().map(Peer::address).collect(Collectors.toSet());
    }

    private Collection<Peer> others() {
        return listedMillis.keySet().stream()
                .filter(peer -> !peer.address().equals(self))
                .collect(Collectors.toList());
    }

    private void sendNotices(List<OriginRegister.Record> records, Set<String> receivers) {
        Collection<Peer> daemons = others();
        Map<String, List<OriginMessage.Begun>> byKeeper = new LinkedHashMap<>();
        records.forEach(
                record ->
                        OriginKeepers.of(record.attempt(), daemons, KEEPERS).stream()
                                .filter(receivers::contains)
                                .forEach(
                                        keeper ->
                                                byKeeper.computeIfAbsent(
                                                                keeper, name -> new ArrayList<>())
                                                        .add(
                                                                new OriginMessage.Begun(
                                                                        record.attempt(),
                                                                        record.origin()))));
        byKeeper.forEach(this::sendNotices);
    }

    private void sendNotices(String keeper, List<OriginMessage.Begun> streams) {
        for (int from = 0; from < streams.size(); from += MAX_STREAMS_PER_NOTICE) {
            int to = Math.min(streams.size(), from + MAX_STREAMS_PER_NOTICE);
            transport.send(keeper, new OriginMessage.Notice(streams.subList(from, to)));
        }
    }

    /**
     * Records the origin of a stream, before its first event is forwarded.
     *
     * @param attempt the attempt that brings the first event; for a stream that was taken up, the
     *     one that its caller names
     * @param origin where it began
     * @param nowMillis the monotonic time in milliseconds
     */
    public void recordBegun(String attempt, StreamOrigin origin, long nowMillis) {
        register.add(attempt, origin, true, nowMillis);
        if (hasSeveralVersions(origin.service())) {
            register.find(attempt)
                    .ifPresent(known -> sendNotices(List.of(known), otherAddresses()));
        }
    }

    /**
     * Searches the origin of a stream that a caller takes up.
     *
     * @param attempt the attempt that brought its first event; empty when the caller names none
     * @param service the service at which it is to be continued
     * @param registryIsFresh whether this daemon knows the targets by recent information; otherwise
     *     another version may have begun streams without its knowledge
     * @param nowMillis the monotonic time in milliseconds
     * @param listener receives the result, possibly before this method returns
     */
    public void find(
            Optional<String> attempt,
            ServiceId service,
            boolean registryIsFresh,
            long nowMillis,
            Consumer<OriginFinding> listener) {
        history.observe(fleet, nowMillis);
        Optional<OriginRegister.Record> own = attempt.flatMap(register::find);
        Optional<StreamOrigin> onlyOrigin = onlyOrigin(service);
        Collection<Peer> daemons = others();
        if (own.isPresent()) {
            listener.accept(
                    new OriginFinding(
                            own.map(OriginRegister.Record::origin),
                            OriginFinding.Source.OWN_RECORD,
                            nowMillis - own.get().atMillis(),
                            0));
        } else if (onlyOrigin.isPresent() && (registryIsFresh || daemons.isEmpty())) {
            listener.accept(new OriginFinding(onlyOrigin, OriginFinding.Source.ONLY_VERSION, 0, 0));
        } else if (attempt.isEmpty() || daemons.isEmpty()) {
            listener.accept(OriginFinding.unknown(0));
        } else {
            ask(attempt.get(), service, registryIsFresh, nowMillis, listener);
        }
    }

    private Optional<StreamOrigin> onlyOrigin(ServiceId service) {
        return onlyVersion(service).map(version -> new StreamOrigin(service, version));
    }

    private void ask(
            String attempt,
            ServiceId service,
            boolean registryIsFresh,
            long nowMillis,
            Consumer<OriginFinding> listener) {
        OriginMessage.Question question =
                new OriginMessage.Question(nextNumber++, attempt, service);
        Search search =
                new Search(
                        question,
                        OriginKeepers.of(attempt, others(), ASKED_DAEMONS),
                        registryIsFresh,
                        nowMillis,
                        listener);
        searches.put(question.number(), search);
        send(search, nowMillis);
    }

    private void send(Search search, long nowMillis) {
        search.sentMillis = nowMillis;
        search.unanswered.forEach(address -> transport.send(address, search.question));
    }

    /**
     * Handles a message of another daemon.
     *
     * @param from the address of the daemon
     * @param message the message
     * @param nowMillis the monotonic time in milliseconds
     */
    public void receive(String from, OriginMessage message, long nowMillis) {
        if (listedMillis.keySet().stream().noneMatch(peer -> peer.address().equals(from))) {
            return;
        }
        if (message instanceof OriginMessage.Notice notice) {
            notice.streams()
                    .forEach(begun -> recordTold(begun.attempt(), begun.origin(), nowMillis));
        } else if (message instanceof OriginMessage.Question question) {
            history.observe(fleet, nowMillis);
            transport.send(
                    from,
                    new OriginMessage.Answer(
                            question.number(),
                            register.find(question.attempt()).map(OriginRegister.Record::origin),
                            onlyVersion(question.service())));
        } else if (message instanceof OriginMessage.Answer answer) {
            handleAnswer(from, answer, nowMillis);
        }
    }

    // Another daemon may know a version before this one reads of its first target.
    private void recordTold(String attempt, StreamOrigin origin, long nowMillis) {
        register.add(attempt, origin, false, nowMillis);
        history.observe(origin.service(), origin.version(), nowMillis);
    }

    private void handleAnswer(String from, OriginMessage.Answer answer, long nowMillis) {
        Search search = searches.get(answer.number());
        if (search == null || !search.unanswered.remove(from)) {
            return;
        }
        search.onlyVersions.add(answer.only());
        if (answer.origin().isPresent()) {
            recordTold(search.question.attempt(), answer.origin().get(), nowMillis);
            end(
                    search,
                    new OriginFinding(
                            answer.origin(),
                            OriginFinding.Source.PEER_RECORD,
                            0,
                            nowMillis - search.beganMillis));
        } else if (search.unanswered.isEmpty()) {
            end(search, withoutRecord(search, nowMillis));
        }
    }

    // During an outage of the store no daemon learns of a new version. Where all that answered
    // know one version only, no other can have begun the stream, unless their answers were lost.
    private OriginFinding withoutRecord(Search search, long nowMillis) {
        Optional<StreamOrigin> origin = onlyOrigin(search.question.service());
        Optional<SoftwareVersion> version = origin.map(StreamOrigin::version);
        boolean agreed =
                !search.registryIsFresh
                        && origin.isPresent()
                        && !search.onlyVersions.isEmpty()
                        && search.onlyVersions.stream().allMatch(version::equals);
        long searchedMillis = nowMillis - search.beganMillis;
        return agreed
                ? new OriginFinding(origin, OriginFinding.Source.PEERS_AGREE, 0, searchedMillis)
                : OriginFinding.unknown(searchedMillis);
    }

    private void end(Search search, OriginFinding finding) {
        searches.remove(search.question.number());
        search.listener.accept(finding);
    }

    /**
     * Repeats questions, gives up those that were not answered in time, and removes old records.
     * Called every {@link #TICK_MILLIS} while a search is pending, and now and then otherwise.
     *
     * @param nowMillis the monotonic time in milliseconds
     */
    public void tick(long nowMillis) {
        for (Search search : List.copyOf(searches.values())) {
            if (nowMillis - search.beganMillis > TIMEOUT_MILLIS) {
                end(search, withoutRecord(search, nowMillis));
            } else if (nowMillis - search.sentMillis >= REPEAT_MILLIS) {
                send(search, nowMillis);
            }
        }
        if (nowMillis - expiredMillis >= EXPIRY_INTERVAL_MILLIS) {
            expiredMillis = nowMillis;
            history.observe(fleet, nowMillis);
            history.expire(retentionMillis, nowMillis);
            register.expire(retentionMillis, nowMillis);
            announceServicesWithSecondVersion();
        }
    }

    /**
     * Returns whether a search is pending.
     *
     * @return true until its listener has been called
     */
    public boolean isSearching() {
        return !searches.isEmpty();
    }

    /**
     * Returns the recent software versions of each service.
     *
     * @return the versions by service
     */
    public Map<ServiceId, Set<SoftwareVersion>> recentVersions() {
        return history.services().stream()
                .collect(Collectors.toMap(service -> service, history::versions));
    }
}
