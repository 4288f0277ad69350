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
 * <p>A daemon that begins a stream sends its origin to a few other daemons, in case it ends or
 * freezes. A daemon at which a stream is taken up asks them. An unknown origin is never guessed: it
 * is derived from the only version of a service if the registry shows no other one as of a time
 * after the stream was taken up, or, while the registry can't be read, if all of them know no
 * other.
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

    /** Time in which a registry that can be read has usually been read again. */
    private static final long REGISTRY_TIMEOUT_MILLIS = 1_000;

    /** Lists of a new holder of the lease are incomplete at first. */
    private static final long LIST_RETENTION_MILLIS = 15_000;

    /** Callers do not take up a stream that began longer ago, unless a route allows more time. */
    private static final long MIN_RETENTION_MILLIS = 60_000;

    private static final long EXPIRY_INTERVAL_MILLIS = 1_000;
    private static final String NO_ATTEMPT = "";

    private final String self;
    private final Transport transport;
    private final Archive archive;
    private final OriginRegister register = OriginRegister.empty();
    private final VersionHistory history = VersionHistory.empty();
    private final Map<Peer, Long> listedMillis = new HashMap<>();
    private final Map<Long, Search> searches = new LinkedHashMap<>();
    private final Set<ServiceId> singleVersionServices = new HashSet<>();
    private final List<OriginRegister.Record> unsentRecords = new ArrayList<>();
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
        private final RegistryKnowledge registry;
        private final Consumer<OriginFinding> listener;
        private final long beganMillis;
        private final List<Optional<SoftwareVersion>> onlyVersions = new ArrayList<>();
        private long sentMillis;

        private Search(
                OriginMessage.Question question,
                Collection<String> asked,
                RegistryKnowledge registry,
                long beganMillis,
                Consumer<OriginFinding> listener) {
            this.question = question;
            this.unanswered = new HashSet<>(asked);
            this.registry = registry;
            this.beganMillis = beganMillis;
            this.listener = listener;
        }

        private boolean peersConfirm(SoftwareVersion only) {
            return onlyVersions.stream().allMatch(Optional.of(only)::equals);
        }

        private long timeoutMillis(boolean derivable) {
            return derivable && registry.isAvailable() ? REGISTRY_TIMEOUT_MILLIS : TIMEOUT_MILLIS;
        }
    }

    /** Keeps origins for the case that all daemons end. */
    public interface Archive {
        /**
         * Adds the origins of streams of services with several versions.
         *
         * @param streams the streams
         */
        void add(List<OriginMessage.Begun> streams);
    }

    private OriginMember(String self, long firstNumber, Transport transport, Archive archive) {
        this.self = self;
        this.nextNumber = firstNumber;
        this.transport = transport;
        this.archive = archive;
    }

    /**
     * Returns a member that knows no other daemon and no stream.
     *
     * @param self the address of this daemon
     * @param firstNumber the number of its first question, so that questions of earlier runs at the
     *     same address have other numbers
     * @param transport sends messages
     * @param archive keeps origins
     * @return the member
     */
    public static OriginMember of(
            String self, long firstNumber, Transport transport, Archive archive) {
        Objects.requireNonNull(self, "self is null");
        Objects.requireNonNull(transport, "transport is null");
        Objects.requireNonNull(archive, "archive is null");
        return new OriginMember(self, firstNumber, transport, archive);
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
            List<OriginRegister.Record> records =
                    register.own()
                            .filter(record -> changed.contains(record.origin().service()))
                            .collect(Collectors.toList());
            sendNotices(records, otherAddresses());
            archive.add(begun(records));
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

    private static List<OriginMessage.Begun> begun(List<OriginRegister.Record> records) {
        return records.stream()
                .map(record -> new OriginMessage.Begun(record.attempt(), record.origin()))
                .collect(Collectors.toList());
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
        register.find(attempt).ifPresent(unsentRecords::add);
        if (hasSeveralVersions(origin.service())) {
            sendUnsentNotices();
            archive.add(List.of(new OriginMessage.Begun(attempt, origin)));
        }
    }

    /**
     * Applies origins from the archive, which daemons added before they ended.
     *
     * @param streams the streams
     * @param nowMillis the monotonic time in milliseconds
     */
    public void recordArchived(Collection<OriginMessage.Begun> streams, long nowMillis) {
        streams.forEach(begun -> register.add(begun.attempt(), begun.origin(), false, nowMillis));
    }

    // While a service has one version only, its origins are mostly not needed, so that they are
    // sent together.
    private void sendUnsentNotices() {
        sendNotices(unsentRecords, otherAddresses());
        unsentRecords.clear();
    }

    /**
     * Searches the origin of a stream that a caller takes up.
     *
     * @param attempt the attempt that brought its first event; empty when the caller names none
     * @param service the service at which it is to be continued
     * @param registry what this daemon knows of the registry, now and during the search
     * @param nowMillis the monotonic time in milliseconds
     * @param listener receives the result, possibly before this method returns
     */
    public void find(
            Optional<String> attempt,
            ServiceId service,
            RegistryKnowledge registry,
            long nowMillis,
            Consumer<OriginFinding> listener) {
        Optional<OriginRegister.Record> own = attempt.flatMap(register::find);
        if (own.isPresent()) {
            listener.accept(
                    new OriginFinding(
                            own.map(OriginRegister.Record::origin),
                            OriginFinding.Source.OWN_RECORD,
                            nowMillis - own.get().atMillis(),
                            0));
            return;
        }
        Search search =
                new Search(
                        new OriginMessage.Question(
                                nextNumber++, attempt.orElse(NO_ATTEMPT), service),
                        OriginKeepers.of(attempt.orElse(NO_ATTEMPT), others(), ASKED_DAEMONS),
                        registry,
                        nowMillis,
                        listener);
        searches.put(search.question.number(), search);
        if (!endIfDecided(search, nowMillis)) {
            send(search, nowMillis);
        }
    }

    private boolean endIfDecided(Search search, long nowMillis) {
        // The time first: targets that are known up to then are in the fleet that is taken after.
        long knownMillis = search.registry.asOfMillis();
        history.observe(search.registry.fleet(), nowMillis);
        Optional<StreamOrigin> only = onlyOrigin(search.question.service());
        long searchedMillis = nowMillis - search.beganMillis;
        boolean contradicted = only.isPresent() && !search.peersConfirm(only.get().version());
        if (only.isPresent() && !contradicted && knownMillis >= search.beganMillis) {
            end(search, only, OriginFinding.Source.ONLY_VERSION, searchedMillis);
        } else if (only.isPresent() && peersAgree(search, only.get().version(), searchedMillis)) {
            end(search, only, OriginFinding.Source.PEERS_AGREE, searchedMillis);
        } else if (search.unanswered.isEmpty() && (only.isEmpty() || contradicted)
                || searchedMillis > search.timeoutMillis(only.isPresent())) {
            end(search, Optional.empty(), OriginFinding.Source.UNKNOWN, searchedMillis);
        }
        return !searches.containsKey(search.question.number());
    }

    // During an outage of the store no daemon learns of a new version. Where all that answered know
    // one version only, no other can have begun the stream, unless their answers were lost.
    private static boolean peersAgree(Search search, SoftwareVersion only, long searchedMillis) {
        boolean answered = search.unanswered.isEmpty() || searchedMillis > TIMEOUT_MILLIS;
        return !search.registry.isAvailable()
                && answered
                && !search.onlyVersions.isEmpty()
                && search.peersConfirm(only);
    }

    private Optional<StreamOrigin> onlyOrigin(ServiceId service) {
        return onlyVersion(service).map(version -> new StreamOrigin(service, version));
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
            answer(from, question);
        } else if (message instanceof OriginMessage.Answer answer) {
            handleAnswer(from, answer, nowMillis);
        }
    }

    // A daemon that has just started can't say anything yet. Its answer would look like that of one
    // which knows several versions.
    private void answer(String from, OriginMessage.Question question) {
        Optional<StreamOrigin> origin =
                register.find(question.attempt()).map(OriginRegister.Record::origin);
        boolean knowsVersions =
                earlierVersionsKnown && !history.versions(question.service()).isEmpty();
        if (origin.isPresent() || knowsVersions) {
            transport.send(
                    from,
                    new OriginMessage.Answer(
                            question.number(), origin, onlyVersion(question.service())));
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
                    answer.origin(),
                    OriginFinding.Source.PEER_RECORD,
                    nowMillis - search.beganMillis);
        } else {
            endIfDecided(search, nowMillis);
        }
    }

    private void end(
            Search search,
            Optional<StreamOrigin> origin,
            OriginFinding.Source source,
            long searchedMillis) {
        searches.remove(search.question.number());
        search.listener.accept(new OriginFinding(origin, source, 0, searchedMillis));
    }

    /**
     * Repeats questions, gives up those that were not answered in time, sends what waits to be
     * sent, and removes old records. Called every {@link #TICK_MILLIS} while {@link #hasWork()},
     * and now and then otherwise.
     *
     * @param nowMillis the monotonic time in milliseconds
     */
    public void tick(long nowMillis) {
        for (Search search : List.copyOf(searches.values())) {
            if (!endIfDecided(search, nowMillis)
                    && nowMillis - search.sentMillis >= REPEAT_MILLIS) {
                send(search, nowMillis);
            }
        }
        sendUnsentNotices();
        if (nowMillis - expiredMillis >= EXPIRY_INTERVAL_MILLIS) {
            expiredMillis = nowMillis;
            history.observe(fleet, nowMillis);
            history.expire(retentionMillis, nowMillis);
            register.expire(retentionMillis, nowMillis);
            announceServicesWithSecondVersion();
        }
    }

    /**
     * Returns whether a search is pending, or messages wait to be sent.
     *
     * @return true until the next calls of {@link #tick} have ended it
     */
    public boolean hasWork() {
        return !searches.isEmpty() || !unsentRecords.isEmpty();
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
