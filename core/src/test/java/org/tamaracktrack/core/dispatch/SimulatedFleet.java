package org.tamaracktrack.core.dispatch;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.tamaracktrack.core.fleet.FleetSnapshot;
import org.tamaracktrack.core.fleet.HeldModel;
import org.tamaracktrack.core.fleet.TargetAddress;
import org.tamaracktrack.core.fleet.TargetEntries;
import org.tamaracktrack.core.fleet.TargetEntry;
import org.tamaracktrack.core.fleet.TargetIncarnation;
import org.tamaracktrack.core.id.DataCentreId;
import org.tamaracktrack.core.id.ModelId;
import org.tamaracktrack.core.id.SoftwareVersion;
import org.tamaracktrack.core.id.TargetId;

/**
 * Simulates engines in virtual time, and daemons that select among them with {@link
 * TargetSelector}, each with its own information. Engines run batches: each step emits one token of
 * every running request and processes a chunk of the prompts.
 */
final class SimulatedFleet {
    private static final double STEP_MILLIS = 8.87;
    private static final double TOKENS_PER_MILLI = 19.1;
    private static final int CHUNK_TOKENS = 2_048;
    private static final int TOKENS_PER_EVENT = 2;
    private static final long FIRST_EVENT_OBJECTIVE_MILLIS = 600;
    private static final long MAX_GAP_MILLIS = 300;
    private static final double MAX_EXPECTED_WAIT_MILLIS = 0.7 * 2_200;
    private static final int MIN_PROMPT_TOKENS = 300;
    private static final int MAX_PROMPT_TOKENS = 5_000;
    private static final double MEAN_ADDITIONAL_PROMPT_TOKENS = 1_000;
    private static final int MAX_ANSWER_TOKENS = 600;
    private static final double MEAN_ANSWER_TOKENS = 150;

    /**
     * Exponent of the skew with which a load balancer distributes requests over daemons, and
     * callers over models.
     */
    private static final double SKEW_EXPONENT = 1.3;

    private final Parameters parameters;
    private final SplittableRandom random;
    private final SplittableRandom selectionRandom;
    private final FleetSnapshot fleet;
    private final List<Daemon> daemons;
    private final Map<TargetIncarnation, Engine> engines = new HashMap<>();
    private final PriorityQueue<Engine> steps =
            new PriorityQueue<>(
                    Comparator.comparingDouble((Engine engine) -> engine.stepEndsMillis));
    private int inTime;
    private int late;
    private int refused;
    private int mostOutstanding;

    /**
     * The parameters of a fleet and its load.
     *
     * @param daemons number of daemons, distributed evenly over the data centres
     * @param engines number of engines, distributed evenly over the data centres
     * @param dataCentres number of data centres
     * @param slots requests that an engine runs concurrently
     * @param models number of models, each requested slightly less often than the previous one
     * @param copies number of models that an engine holds
     * @param requestsPerSecond average requests per second at each engine
     * @param exchangeMillis interval at which peers exchange loads; 0 for no exchange
     * @param machines the machines of the engines
     */
    record Parameters(
            int daemons,
            int engines,
            int dataCentres,
            int slots,
            int models,
            int copies,
            double requestsPerSecond,
            long exchangeMillis,
            Machines machines) {

        Parameters exchanging(long everyMillis) {
            return new Parameters(
                    daemons,
                    engines,
                    dataCentres,
                    slots,
                    models,
                    copies,
                    requestsPerSecond,
                    everyMillis,
                    machines);
        }
    }

    /**
     * The machines of the engines, which other programs share.
     *
     * @param workFactors how much longer than usual work takes, for the engines in turn
     * @param disturbed whether work takes longer still for short intervals
     * @param reported whether engines report how long work takes
     */
    record Machines(List<Double> workFactors, boolean disturbed, boolean reported) {
        static final Machines EQUAL = new Machines(List.of(1.0), false, false);

        private static final double DISTURBED_SHARE = 0.15;
        private static final double DISTURBED_FACTOR = 2.5;
        private static final double DISTURBED_MILLIS = 600;

        Machines reporting() {
            return new Machines(workFactors, disturbed, true);
        }

        double workFactor(int engine, double nowMillis) {
            double factor = workFactors.get(engine % workFactors.size());
            long interval = (long) (nowMillis / DISTURBED_MILLIS);
            double draw = new SplittableRandom(interval * 1_000 + engine).nextDouble();
            return disturbed && draw < DISTURBED_SHARE ? DISTURBED_FACTOR * factor : factor;
        }
    }

    /**
     * The counts of requests by outcome.
     *
     * @param inTime answers whose first event and gaps met the objective
     * @param late the other answers
     * @param refused requests that were refused immediately
     * @param mostOutstanding the largest number of requests at one engine
     */
    record Outcome(int inTime, int late, int refused, int mostOutstanding) {
        double shareInTime() {
            return inTime / (double) Math.max(1, inTime + late + refused);
        }
    }

    private final class Daemon {
        private final TargetSelector selector;
        private final Map<TargetIncarnation, TargetLoad> loads = new HashMap<>();
        private final Peer self;
        private final PeerLoadShares shares = PeerLoadShares.empty();
        private List<Daemon> peers = List.of();
        private Map<TargetIncarnation, LoadShare> reportedShares = Map.of();
        private List<RelayedReport> newReports = List.of();

        Daemon(Peer self) {
            this.self = self;
            selector = TargetSelector.of(self.dataCentre());
        }

        void connectPeers(Map<Peer, Daemon> all) {
            peers =
                    PeerSelection.peersOf(self, all.keySet()).stream()
                            .map(all::get)
                            .collect(Collectors.toList());
        }

        void snapshotLoads(long nowMillis) {
            newReports =
                    loads.entrySet().stream()
                            .flatMap(
                                    load ->
                                            load
                                                    .getValue()
                                                    .takeNewReport(load.getKey(), nowMillis)
                                                    .stream())
                            .collect(Collectors.toList());
            reportedShares = new HashMap<>();
            loads.forEach((name, load) -> reportedShares.put(name, load.ownShare()));
        }

        void receiveLoads(Daemon peer, long nowMillis) {
            shares.update(peer.self.process(), peer.reportedShares, nowMillis)
                    .forEach((name, sum) -> load(name).recordPeerShare(sum, nowMillis));
            peer.newReports.forEach(
                    report ->
                            load(report.target())
                                    .recordRelayedReport(
                                            report.load(),
                                            report.ageMillis() + parameters.exchangeMillis(),
                                            nowMillis));
        }

        TargetLoad load(TargetIncarnation engine) {
            return loads.computeIfAbsent(engine, name -> new TargetLoad());
        }

        void dispatch(ModelId model, int promptTokens, int answerTokens, long nowMillis) {
            DispatchRequest request =
                    DispatchRequest.of(
                            TargetEntries.ENGINES,
                            Optional.of(TargetEntries.need(model.value())),
                            promptTokens,
                            List.of());
            TargetSelector.Selection choice =
                    selector.select(
                                    request,
                                    fleet,
                                    this::load,
                                    Set.of(),
                                    nowMillis,
                                    selectionRandom::nextDouble)
                            .orElseThrow();
            if (choice.firstPieceMillis() > MAX_EXPECTED_WAIT_MILLIS) {
                refused++;
                return;
            }
            TargetLoad load = load(choice.entry().incarnation());
            int pendingTokensBefore = load.pendingPromptTokens(nowMillis);
            load.recordSent(promptTokens, nowMillis);
            engines.get(choice.entry().incarnation())
                    .enqueue(
                            new Request(
                                    load,
                                    promptTokens,
                                    answerTokens,
                                    pendingTokensBefore,
                                    nowMillis),
                            nowMillis);
        }
    }

    private static final class Request {
        private final TargetLoad load;
        private final int promptTokens;
        private final int pendingTokensBefore;
        private final long sentMillis;
        private int pendingPromptTokens;
        private int remainingAnswerTokens;
        private int emittedTokens;
        private long lastEventMillis;
        private boolean late;

        Request(
                TargetLoad load,
                int promptTokens,
                int answerTokens,
                int aheadTokens,
                long sentMillis) {
            this.load = load;
            this.promptTokens = promptTokens;
            this.pendingTokensBefore = aheadTokens;
            this.sentMillis = sentMillis;
            this.pendingPromptTokens = promptTokens;
            this.remainingAnswerTokens = answerTokens;
        }
    }

    private final class Engine {
        private final List<Request> running = new ArrayList<>();
        private final Deque<Request> waiting = new ArrayDeque<>();
        private final int index;
        private double stepEndsMillis;
        private boolean stepping;

        Engine(int index) {
            this.index = index;
        }

        private double workFactor(double nowMillis) {
            return parameters.machines().workFactor(index, nowMillis);
        }

        private ReportedLoad report(long nowMillis) {
            return new ReportedLoad(
                    running.size(),
                    waiting.size(),
                    parameters.machines().reported()
                            ? WorkTime.ofPercent(100 * workFactor(nowMillis))
                            : Optional.empty());
        }

        void enqueue(Request request, long nowMillis) {
            waiting.addLast(request);
            mostOutstanding = Math.max(mostOutstanding, running.size() + waiting.size());
            if (!stepping) {
                beginStep(nowMillis);
            }
        }

        private void beginStep(double now) {
            while (running.size() < parameters.slots() && !waiting.isEmpty()) {
                running.add(waiting.removeFirst());
            }
            stepping = !running.isEmpty();
            if (!stepping) {
                return;
            }
            int chunk = CHUNK_TOKENS;
            for (Request request : running) {
                int read = Math.min(chunk, request.pendingPromptTokens);
                request.pendingPromptTokens -= read;
                chunk -= read;
            }
            double usualMillis = STEP_MILLIS + (CHUNK_TOKENS - chunk) / TOKENS_PER_MILLI;
            stepEndsMillis = now + usualMillis * workFactor(now);
            steps.add(this);
        }

        void endStep() {
            long nowMillis = Math.round(stepEndsMillis);
            running.stream()
                    .filter(request -> request.pendingPromptTokens == 0)
                    .forEach(request -> emitToken(request, nowMillis));
            running.removeIf(request -> request.remainingAnswerTokens <= 0);
            beginStep(stepEndsMillis);
        }

        private void emitToken(Request request, long nowMillis) {
            if (request.emittedTokens == 0) {
                request.load.recordReport(report(nowMillis), nowMillis);
                request.load.recordFirstPiece(
                        request.promptTokens,
                        request.sentMillis,
                        request.pendingTokensBefore,
                        nowMillis);
                request.late = nowMillis - request.sentMillis > FIRST_EVENT_OBJECTIVE_MILLIS;
                request.lastEventMillis = nowMillis;
            } else if (request.emittedTokens % TOKENS_PER_EVENT == 0) {
                long gap = nowMillis - request.lastEventMillis;
                request.load.recordStreamEvent(gap, nowMillis);
                request.late |= gap > MAX_GAP_MILLIS;
                request.lastEventMillis = nowMillis;
            }
            request.emittedTokens++;
            if (--request.remainingAnswerTokens == 0) {
                complete(request, nowMillis);
            }
        }

        private void complete(Request request, long nowMillis) {
            request.load.recordCompleteAnswer(nowMillis - request.sentMillis);
            request.load.recordOutcome(false, nowMillis);
            request.load.recordEnd();
            if (request.late) {
                late++;
            } else {
                inTime++;
            }
        }
    }

    private SimulatedFleet(Parameters parameters, long seed) {
        this.parameters = parameters;
        this.random = new SplittableRandom(seed);
        this.selectionRandom = random.split();
        this.daemons =
                IntStream.range(0, parameters.daemons())
                        .mapToObj(index -> new Daemon(peer(index)))
                        .collect(Collectors.toList());
        Map<Peer, Daemon> all =
                daemons.stream().collect(Collectors.toMap(daemon -> daemon.self, daemon -> daemon));
        daemons.forEach(daemon -> daemon.connectPeers(all));
        this.fleet =
                FleetSnapshot.of(
                        IntStream.range(0, parameters.engines())
                                .mapToObj(this::entry)
                                .collect(
                                        Collectors.toMap(
                                                entry -> entry.incarnation().target(),
                                                entry -> entry)));
        IntStream.range(0, parameters.engines())
                .forEach(index -> engines.put(incarnation(index), new Engine(index)));
    }

    private static TargetIncarnation incarnation(int index) {
        return new TargetIncarnation(TargetId.of("engine-" + index), 0);
    }

    private Peer peer(int index) {
        return Peer.of("daemon-" + index, dataCentre(index), "10.0.0." + index + ":1");
    }

    private DataCentreId dataCentre(int index) {
        return DataCentreId.of("place-" + index % parameters.dataCentres());
    }

    // Distributes the models over the engines so that all models have equally many copies.
    private TargetEntry entry(int index) {
        List<HeldModel> held =
                IntStream.range(0, parameters.copies())
                        .map(
                                copy ->
                                        (index / parameters.dataCentres() + copy * 3)
                                                % parameters.models())
                        .mapToObj(model -> new HeldModel(ModelId.of("model-" + model), Set.of()))
                        .collect(Collectors.toList());
        return new TargetEntry(
                incarnation(index),
                TargetEntries.ENGINES,
                SoftwareVersion.of("v1"),
                new TargetAddress("10.0.0.1", 80),
                dataCentre(index),
                parameters.slots(),
                false,
                1,
                TargetEntry.indexByModel(held),
                Set.of(),
                Set.of());
    }

    /**
     * Runs a simulation.
     *
     * @param parameters the parameters of the fleet and its load
     * @param durationMillis the time during which requests arrive, in milliseconds
     * @param seed seed of the random numbers
     * @return the counts of requests by outcome
     */
    static Outcome simulate(Parameters parameters, long durationMillis, long seed) {
        SimulatedFleet simulation = new SimulatedFleet(parameters, seed);
        simulation.runUntilIdle(durationMillis);
        return new Outcome(
                simulation.inTime, simulation.late, simulation.refused, simulation.mostOutstanding);
    }

    private void runUntilIdle(long durationMillis) {
        double meanIntervalMillis = 1_000 / (parameters.requestsPerSecond() * parameters.engines());
        double nextRequestMillis = exponential(meanIntervalMillis);
        double nextExchangeMillis = parameters.exchangeMillis();
        while (nextRequestMillis < durationMillis || !steps.isEmpty()) {
            double nextStepMillis =
                    steps.isEmpty() ? Double.MAX_VALUE : steps.peek().stepEndsMillis;
            if (parameters.exchangeMillis() > 0
                    && nextExchangeMillis <= Math.min(nextRequestMillis, nextStepMillis)) {
                exchange(Math.round(nextExchangeMillis));
                nextExchangeMillis += parameters.exchangeMillis();
            } else if (nextStepMillis <= nextRequestMillis || nextRequestMillis >= durationMillis) {
                steps.remove().endStep();
            } else {
                dispatchRequest(Math.round(nextRequestMillis));
                nextRequestMillis += exponential(meanIntervalMillis);
            }
        }
    }

    private double exponential(double mean) {
        return -mean * Math.log(1 - random.nextDouble());
    }

    private void dispatchRequest(long nowMillis) {
        int daemon = (int) (parameters.daemons() * Math.pow(random.nextDouble(), SKEW_EXPONENT));
        int model = (int) (parameters.models() * Math.pow(random.nextDouble(), SKEW_EXPONENT));
        double prompts = MIN_PROMPT_TOKENS + exponential(MEAN_ADDITIONAL_PROMPT_TOKENS);
        int prompt = (int) Math.min(MAX_PROMPT_TOKENS, prompts);
        double answers = TOKENS_PER_EVENT + exponential(MEAN_ANSWER_TOKENS);
        int answer = (int) Math.min(MAX_ANSWER_TOKENS, answers);
        daemons.get(daemon).dispatch(ModelId.of("model-" + model), prompt, answer, nowMillis);
    }

    // Loads arrive at the peers one round after they were sent.
    private void exchange(long nowMillis) {
        daemons.forEach(
                daemon -> daemon.peers.forEach(peer -> daemon.receiveLoads(peer, nowMillis)));
        daemons.forEach(daemon -> daemon.snapshotLoads(nowMillis));
    }
}
