package org.tamaracktrack.core.placement;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.tamaracktrack.core.id.IncarnationId;
import org.tamaracktrack.core.id.ModelId;
import org.tamaracktrack.core.log.LogEntry.CountersPublished;
import org.tamaracktrack.core.log.LogRecord;
import org.tamaracktrack.core.report.CounterName;
import org.tamaracktrack.core.report.RequestOutcome;

/**
 * Estimates the demand for each model from the counters in the reports stream.
 *
 * <p>Two moving averages per model, a fast one and a slow one, over the log's time. The counters
 * are cumulative: what a lost record would have said comes with the next one, a doubled or late one
 * says nothing new. Averages are as of the newest record, so that a silent log is not read as
 * demand that has gone.
 */
public final class DemandEstimator {
    private static final double FAST_SECONDS = 30;
    private static final double SLOW_SECONDS = 600;
    private static final double PROMPT_TOKEN_WORK = 0.125;
    private static final double DEFAULT_SECONDS_PER_REQUEST = 1;
    private static final long LONGEST_FIRST_SPAN_MILLIS = 60_000;

    private final Map<IncarnationId, CountersPublished> latest = new HashMap<>();
    private final Map<ModelId, Averages> models = new TreeMap<>();
    private final Map<String, Optional<CounterName>> names = new HashMap<>();
    private final Averages all = new Averages();
    private long firstMillis = -1;
    private long newestMillis;
    private double meanRunning;
    private boolean runningKnown;

    /** Moving averages of events a second. */
    private static final class Averages {
        private double offeredFast;
        private double offeredSlow;
        private double servedSlow;
        private double workSlow;
        private long atMillis = Long.MIN_VALUE;

        void decay(long nowMillis) {
            double seconds = atMillis == Long.MIN_VALUE ? 0 : (nowMillis - atMillis) / 1_000.0;
            double fast = Math.exp(-seconds / FAST_SECONDS);
            double slow = Math.exp(-seconds / SLOW_SECONDS);
            offeredFast *= fast;
            offeredSlow *= slow;
            servedSlow *= slow;
            workSlow *= slow;
            atMillis = nowMillis;
        }
    }

    private DemandEstimator() {}

    /**
     * Returns an estimator that knows of no demand.
     *
     * @return the estimator
     */
    public static DemandEstimator empty() {
        return new DemandEstimator();
    }

    /**
     * Takes the next record of the reports stream in.
     *
     * @param record the record
     */
    public void handle(LogRecord record) {
        Objects.requireNonNull(record, "record is null");
        newestMillis = Math.max(newestMillis, record.appendedAtMillis());
        if (firstMillis < 0) {
            firstMillis = newestMillis;
        }
        if (record.entry() instanceof CountersPublished counters) {
            count(counters);
        }
    }

    private void count(CountersPublished after) {
        CountersPublished before = latest.get(after.incarnation());
        if (before != null && after.sequence() <= before.sequence()) {
            return;
        }
        if (after.last()) {
            latest.remove(after.incarnation());
        } else {
            latest.put(after.incarnation(), after);
        }
        // The first record seen of a process that has run for long sums up hours; taken as news it
        // would look like a huge peak.
        boolean baselineOnly =
                before == null
                        && after.takenAtMillis() - after.startedAtMillis()
                                > LONGEST_FIRST_SPAN_MILLIS;
        if (!baselineOnly) {
            Map<String, Long> known = before == null ? Map.of() : before.counters();
            after.counters()
                    .forEach((name, value) -> count(name, value - known.getOrDefault(name, 0L)));
        }
    }

    private void count(String text, long increase) {
        if (increase <= 0) {
            return;
        }
        names.computeIfAbsent(text, CounterName::parse)
                .ifPresent(
                        name -> {
                            if (name instanceof CounterName.Requests requests) {
                                requests(requests, increase);
                            } else if (name instanceof CounterName.Tokens tokens) {
                                tokens(tokens, increase);
                            }
                        });
    }

    private void requests(CounterName.Requests name, long increase) {
        ModelId model = ModelId.of(name.destination());
        RequestOutcome.Kind kind = name.outcome().kind();
        if (kind == RequestOutcome.Kind.OFFERED) {
            averages(model).offeredFast += increase / FAST_SECONDS;
            averages(model).offeredSlow += increase / SLOW_SECONDS;
        } else if (kind == RequestOutcome.Kind.IN_CLASS || kind == RequestOutcome.Kind.LATE) {
            averages(model).servedSlow += increase / SLOW_SECONDS;
            decayed(all).servedSlow += increase / SLOW_SECONDS;
        }
    }

    private void tokens(CounterName.Tokens name, long increase) {
        double weight = name.kind() == CounterName.TokenKind.PROMPT ? PROMPT_TOKEN_WORK : 1;
        averages(name.model()).workSlow += weight * increase / SLOW_SECONDS;
        decayed(all).workSlow += weight * increase / SLOW_SECONDS;
    }

    private Averages averages(ModelId model) {
        return decayed(models.computeIfAbsent(model, unused -> new Averages()));
    }

    private Averages decayed(Averages averages) {
        averages.decay(Math.max(newestMillis, averages.atMillis));
        return averages;
    }

    /**
     * Takes in how many requests are running on all targets together, from which the time that a
     * request takes follows by Little's law.
     *
     * @param running how many
     * @param elapsedMillis the time since the last call
     */
    public void running(int running, long elapsedMillis) {
        double weight = runningKnown ? 1 - Math.exp(-elapsedMillis / 1_000.0 / SLOW_SECONDS) : 1;
        meanRunning += weight * (running - meanRunning);
        runningKnown = true;
    }

    /**
     * Returns the demand as of the newest record.
     *
     * @return the demand by model
     */
    public Map<ModelId, ModelDemand> demand() {
        models.values().forEach(this::decayed);
        decayed(all);
        return models.entrySet().stream()
                .collect(
                        Collectors.toUnmodifiableMap(
                                Map.Entry::getKey, entry -> demand(entry.getValue())));
    }

    private ModelDemand demand(Averages averages) {
        double fast = averages.offeredFast / warmed(FAST_SECONDS);
        double slow = averages.offeredSlow / warmed(SLOW_SECONDS);
        double seconds = secondsPerRequest(averages);
        return new ModelDemand(fast, fast * seconds, slow * seconds);
    }

    /** Averages begin at 0; dividing by this makes up for the time that they have not yet seen. */
    private double warmed(double spanSeconds) {
        double seconds = Math.max(1, (newestMillis - firstMillis) / 1_000.0);
        return 1 - Math.exp(-seconds / spanSeconds);
    }

    private double secondsPerRequest(Averages averages) {
        if (!runningKnown || all.servedSlow <= 0) {
            return DEFAULT_SECONDS_PER_REQUEST;
        }
        double meanSeconds = meanRunning / (all.servedSlow / warmed(SLOW_SECONDS));
        if (averages.servedSlow <= 0 || averages.workSlow <= 0 || all.workSlow <= 0) {
            return meanSeconds;
        }
        double work = averages.workSlow / averages.servedSlow;
        double meanWork = all.workSlow / all.servedSlow;
        return meanSeconds * work / meanWork;
    }
}
