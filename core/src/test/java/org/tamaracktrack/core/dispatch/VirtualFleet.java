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
import org.tamaracktrack.core.id.TargetId;

/**
 * Engines in virtual time, and daemons that choose among them by {@link TargetChooser}, each with
 * its own knowledge. Engines run batches: a step emits a token of each running request, and reads
 * prompts in chunks in between.
 */
final class VirtualFleet {
    private static final double STEP_MILLIS = 8.87;
    private static final double TOKENS_PER_MILLI = 19.1;
    private static final int CHUNK_TOKENS = 2_048;
    private static final int TOKENS_PER_EVENT = 2;
    private static final long OBJECTIVE_MILLIS = 600;
    private static final long GAP_MILLIS = 300;
    private static final double PATIENCE_MILLIS = 0.7 * 2_200;
    private static final int LEAST_PROMPT_TOKENS = 300;
    private static final int MOST_PROMPT_TOKENS = 5_000;
    private static final double MEAN_FURTHER_PROMPT_TOKENS = 1_000;
    private static final int MOST_ANSWER_TOKENS = 600;
    private static final double MEAN_ANSWER_TOKENS = 150;

    /** A balancer's hash and the popularity of models are uneven: the first get more. */
    private static final double UNEVEN = 1.3;

    private final Size size;
    private final SplittableRandom random;
    private final SplittableRandom choices;
    private final FleetSnapshot fleet;
    private final List<Daemon> daemons;
    private final Map<TargetIncarnation, Engine> engines = new HashMap<>();
    private final PriorityQueue<Engine> steps =
            new PriorityQueue<>(Comparator.comparingDouble((Engine engine) -> engine.stepEnds));
    private int inTime;
    private int late;
    private int refused;
    private int mostOutstanding;

    /**
     * A fleet and its load.
     *
     * @param daemons daemons, evenly over the data centres
     * @param engines engines, evenly over the data centres
     * @param dataCentres data centres
     * @param slots requests that an engine runs at once
     * @param models models, each asked for a little less than the one before
     * @param copies models that an engine holds
     * @param perSecond requests a second at each engine on average
     * @param exchangeMillis how often peers hear of each other; 0 for never
     */
    record Size(
            int daemons,
            int engines,
            int dataCentres,
            int slots,
            int models,
            int copies,
            double perSecond,
            long exchangeMillis) {

        Size exchanging(long everyMillis) {
            return new Size(
                    daemons, engines, dataCentres, slots, models, copies, perSecond, everyMillis);
        }
    }

    /**
     * How requests fared.
     *
     * @param inTime requests whose first event and pauses kept to the objective
     * @param late the other answers
     * @param refused requests that were refused at once
     * @param mostOutstanding the most requests that an engine had at once
     */
    record Outcome(int inTime, int late, int refused, int mostOutstanding) {
        double shareInTime() {
            return inTime / (double) Math.max(1, inTime + late + refused);
        }
    }

    private final class Daemon {
        private final TargetChooser chooser;
        private final Map<TargetIncarnation, TargetLoad> loads = new HashMap<>();
        private final Peer self;
        private final PeerShares shares = PeerShares.empty();
        private List<Daemon> peers = List.of();
        private Map<TargetIncarnation, LoadShare> told = Map.of();

        Daemon(Peer self) {
            this.self = self;
            chooser = TargetChooser.of(self.dataCentre());
        }

        void meet(Map<Peer, Daemon> all) {
            peers =
                    PeerSelection.of(self, all.keySet()).stream()
                            .map(all::get)
                            .collect(Collectors.toList());
        }

        void tell() {
            told = new HashMap<>();
            loads.forEach((name, load) -> told.put(name, load.own()));
        }

        void hear(Daemon peer, long nowMillis) {
            shares.told(peer.self.process(), peer.told, nowMillis)
                    .forEach((name, sum) -> load(name).others(sum, nowMillis));
        }

        TargetLoad load(TargetIncarnation engine) {
            return loads.computeIfAbsent(engine, name -> new TargetLoad());
        }

        void dispatch(ModelId model, int promptTokens, int answerTokens, long nowMillis) {
            Work work =
                    new Work(
                            TargetEntries.ENGINES,
                            Optional.of(TargetEntries.need(model.value())),
                            promptTokens,
                            List.of());
            TargetChooser.Choice choice =
                    chooser.choose(
                                    work,
                                    fleet,
                                    this::load,
                                    Set.of(),
                                    nowMillis,
                                    choices::nextDouble)
                            .orElseThrow();
            if (choice.firstPieceMillis() > PATIENCE_MILLIS) {
                refused++;
                return;
            }
            TargetLoad load = load(choice.entry().incarnation());
            int ahead = load.unreadTokens(nowMillis);
            load.started(promptTokens, nowMillis);
            engines.get(choice.entry().incarnation())
                    .add(
                            new Request(load, promptTokens, answerTokens, ahead, nowMillis),
                            nowMillis);
        }
    }

    private static final class Request {
        private final TargetLoad load;
        private final int promptTokens;
        private final int aheadTokens;
        private final long sentMillis;
        private int unread;
        private int toWrite;
        private int written;
        private long eventMillis;
        private boolean late;

        Request(
                TargetLoad load,
                int promptTokens,
                int answerTokens,
                int aheadTokens,
                long sentMillis) {
            this.load = load;
            this.promptTokens = promptTokens;
            this.aheadTokens = aheadTokens;
            this.sentMillis = sentMillis;
            this.unread = promptTokens;
            this.toWrite = answerTokens;
        }
    }

    private final class Engine {
        private final List<Request> running = new ArrayList<>();
        private final Deque<Request> waiting = new ArrayDeque<>();
        private double stepEnds;
        private boolean stepping;

        void add(Request request, long nowMillis) {
            waiting.addLast(request);
            mostOutstanding = Math.max(mostOutstanding, running.size() + waiting.size());
            if (!stepping) {
                beginStep(nowMillis);
            }
        }

        private void beginStep(double now) {
            while (running.size() < size.slots() && !waiting.isEmpty()) {
                running.add(waiting.removeFirst());
            }
            stepping = !running.isEmpty();
            if (!stepping) {
                return;
            }
            int chunk = CHUNK_TOKENS;
            for (Request request : running) {
                int read = Math.min(chunk, request.unread);
                request.unread -= read;
                chunk -= read;
            }
            stepEnds = now + STEP_MILLIS + (CHUNK_TOKENS - chunk) / TOKENS_PER_MILLI;
            steps.add(this);
        }

        void endStep() {
            long nowMillis = Math.round(stepEnds);
            running.stream()
                    .filter(request -> request.unread == 0)
                    .forEach(request -> emit(request, nowMillis));
            running.removeIf(request -> request.toWrite <= 0);
            beginStep(stepEnds);
        }

        private void emit(Request request, long nowMillis) {
            if (request.written == 0) {
                request.load.report(new ReportedLoad(running.size(), waiting.size()), nowMillis);
                request.load.read(
                        request.promptTokens, request.sentMillis, request.aheadTokens, nowMillis);
                request.late = nowMillis - request.sentMillis > OBJECTIVE_MILLIS;
                request.eventMillis = nowMillis;
            } else if (request.written % TOKENS_PER_EVENT == 0) {
                long gap = nowMillis - request.eventMillis;
                request.load.event(gap, nowMillis);
                request.late |= gap > GAP_MILLIS;
                request.eventMillis = nowMillis;
            }
            request.written++;
            if (--request.toWrite == 0) {
                end(request, nowMillis);
            }
        }

        private void end(Request request, long nowMillis) {
            request.load.whole(nowMillis - request.sentMillis);
            request.load.answered(false, nowMillis);
            request.load.ended();
            if (request.late) {
                late++;
            } else {
                inTime++;
            }
        }
    }

    private VirtualFleet(Size size, long seed) {
        this.size = size;
        this.random = new SplittableRandom(seed);
        this.choices = random.split();
        this.daemons =
                IntStream.range(0, size.daemons())
                        .mapToObj(index -> new Daemon(peer(index)))
                        .collect(Collectors.toList());
        Map<Peer, Daemon> all =
                daemons.stream().collect(Collectors.toMap(daemon -> daemon.self, daemon -> daemon));
        daemons.forEach(daemon -> daemon.meet(all));
        this.fleet =
                FleetSnapshot.of(
                        IntStream.range(0, size.engines())
                                .mapToObj(this::entry)
                                .collect(
                                        Collectors.toMap(
                                                entry -> entry.incarnation().target(),
                                                entry -> entry)));
        fleet.all().forEach(entry -> engines.put(entry.incarnation(), new Engine()));
    }

    private Peer peer(int index) {
        return new Peer("daemon-" + index, place(index), "10.0.0." + index + ":1");
    }

    private DataCentreId place(int index) {
        return DataCentreId.of("place-" + index % size.dataCentres());
    }

    // Engine i holds the models i, i + 1, ..., so that the copies of all models are as many.
    private TargetEntry entry(int index) {
        List<HeldModel> held =
                IntStream.range(0, size.copies())
                        .map(copy -> (index / size.dataCentres() + copy * 3) % size.models())
                        .mapToObj(model -> new HeldModel(ModelId.of("model-" + model), Set.of()))
                        .collect(Collectors.toList());
        return new TargetEntry(
                new TargetIncarnation(TargetId.of("engine-" + index), 0),
                TargetEntries.ENGINES,
                new TargetAddress("10.0.0.1", 80),
                place(index),
                size.slots(),
                false,
                1,
                TargetEntry.indexByModel(held),
                Set.of(),
                Set.of());
    }

    /**
     * Plays a load.
     *
     * @param size the fleet and its load
     * @param lengthMillis for how long requests come
     * @param seed draws them
     * @return how they fared
     */
    static Outcome play(Size size, long lengthMillis, long seed) {
        VirtualFleet played = new VirtualFleet(size, seed);
        played.run(lengthMillis);
        return new Outcome(played.inTime, played.late, played.refused, played.mostOutstanding);
    }

    private void run(long lengthMillis) {
        double pause = 1_000 / (size.perSecond() * size.engines());
        double next = exponential(pause);
        double exchange = size.exchangeMillis();
        while (next < lengthMillis || !steps.isEmpty()) {
            double step = steps.isEmpty() ? Double.MAX_VALUE : steps.peek().stepEnds;
            if (size.exchangeMillis() > 0 && exchange <= Math.min(next, step)) {
                exchange(Math.round(exchange));
                exchange += size.exchangeMillis();
            } else if (step <= next || next >= lengthMillis) {
                steps.remove().endStep();
            } else {
                arrive(Math.round(next));
                next += exponential(pause);
            }
        }
    }

    private double exponential(double mean) {
        return -mean * Math.log(1 - random.nextDouble());
    }

    private void arrive(long nowMillis) {
        int daemon = (int) (size.daemons() * Math.pow(random.nextDouble(), UNEVEN));
        int model = (int) (size.models() * Math.pow(random.nextDouble(), UNEVEN));
        double prompts = LEAST_PROMPT_TOKENS + exponential(MEAN_FURTHER_PROMPT_TOKENS);
        int prompt = (int) Math.min(MOST_PROMPT_TOKENS, prompts);
        double answers = TOKENS_PER_EVENT + exponential(MEAN_ANSWER_TOKENS);
        int answer = (int) Math.min(MOST_ANSWER_TOKENS, answers);
        daemons.get(daemon).dispatch(ModelId.of("model-" + model), prompt, answer, nowMillis);
    }

    // What daemons tell their peers arrives one round later.
    private void exchange(long nowMillis) {
        daemons.forEach(daemon -> daemon.peers.forEach(peer -> daemon.hear(peer, nowMillis)));
        daemons.forEach(Daemon::tell);
    }
}
