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
 * <p>Keeps a fast and a slow exponential moving average per model, in the time of the log. Counters
 * are cumulative: the next record makes up for a lost one, and a duplicate or late record is
 * ignored. Averages decay only up to the newest record, so that an unavailable log does not look
 * like a loss of demand.
 */
public final class DemandEstimator {
    private static final double FAST_WINDOW_SECONDS = 30;
    private static final double SLOW_WINDOW_SECONDS = 600;
    private static final double PROMPT_TOKEN_WEIGHT = 0.125;
    private static final double DEFAULT_SECONDS_PER_REQUEST = 1;
    private static final long MAX_FIRST_RECORD_SPAN_MILLIS = 60_000;

    private final Map<IncarnationId, CountersPublished> latestByProcess = new HashMap<>();
    private final Map<ModelId, Averages> averagesByModel = new TreeMap<>();
    private final Map<String, Optional<CounterName>> parsedNames = new HashMap<>();
    private final Averages total = new Averages();
    private long firstRecordMillis = -1;
    private long newestRecordMillis;
    private double meanRunning;
    private boolean runningKnown;

    /** Exponential moving averages, in events per second. */
    private static final class Averages {
        private double offeredFast;
        private double offeredSlow;
        private double servedSlow;
        private double weightedTokensSlow;
        private long atMillis = Long.MIN_VALUE;

        void decay(long nowMillis) {
            double seconds = atMillis == Long.MIN_VALUE ? 0 : (nowMillis - atMillis) / 1_000.0;
            double fast = Math.exp(-seconds / FAST_WINDOW_SECONDS);
            double slow = Math.exp(-seconds / SLOW_WINDOW_SECONDS);
            offeredFast *= fast;
            offeredSlow *= slow;
            servedSlow *= slow;
            weightedTokensSlow *= slow;
            atMillis = nowMillis;
        }
    }

    private DemandEstimator() {}

    /**
     * Returns an estimator without any records, for which all demand is zero.
     *
     * @return the estimator
     */
    public static DemandEstimator empty() {
        return new DemandEstimator();
    }

    /**
     * Applies the next record of the reports stream.
     *
     * @param record the record
     */
    public void handle(LogRecord record) {
        Objects.requireNonNull(record, "record is null");
        newestRecordMillis = Math.max(newestRecordMillis, record.appendedAtMillis());
        if (firstRecordMillis < 0) {
            firstRecordMillis = newestRecordMillis;
        }
        if (record.entry() instanceof CountersPublished counters) {
            count(counters);
        }
    }

    private void count(CountersPublished after) {
        CountersPublished before = latestByProcess.get(after.incarnation());
        if (before != null && after.sequence() <= before.sequence()) {
            return;
        }
        if (after.last()) {
            latestByProcess.remove(after.incarnation());
        } else {
            latestByProcess.put(after.incarnation(), after);
        }
        // The first record read from a long-running process holds hours of requests. Counting it as
        // an increase would look like a large peak, so it serves only as the baseline.
        boolean baselineOnly =
                before == null
                        && after.takenAtMillis() - after.startedAtMillis()
                                > MAX_FIRST_RECORD_SPAN_MILLIS;
        if (!baselineOnly) {
            Map<String, Long> previousCounters = before == null ? Map.of() : before.counters();
            after.counters()
                    .forEach(
                            (name, value) ->
                                    count(name, value - previousCounters.getOrDefault(name, 0L)));
        }
    }

    private void count(String text, long increase) {
        if (increase <= 0) {
            return;
        }
        parsedNames
                .computeIfAbsent(text, CounterName::parse)
                .ifPresent(
                        name -> {
                            if (name instanceof CounterName.Requests requests) {
                                addRequests(requests, increase);
                            } else if (name instanceof CounterName.Tokens tokens) {
                                addTokens(tokens, increase);
                            }
                        });
    }

    private void addRequests(CounterName.Requests name, long increase) {
        ModelId model = ModelId.of(name.destination());
        RequestOutcome.Kind kind = name.outcome().kind();
        if (kind == RequestOutcome.Kind.OFFERED) {
            decayedAveragesOf(model).offeredFast += increase / FAST_WINDOW_SECONDS;
            decayedAveragesOf(model).offeredSlow += increase / SLOW_WINDOW_SECONDS;
        } else if (kind == RequestOutcome.Kind.IN_CLASS || kind == RequestOutcome.Kind.LATE) {
            decayedAveragesOf(model).servedSlow += increase / SLOW_WINDOW_SECONDS;
            decayed(total).servedSlow += increase / SLOW_WINDOW_SECONDS;
        }
    }

    private void addTokens(CounterName.Tokens name, long increase) {
        double weight = name.kind() == CounterName.TokenKind.PROMPT ? PROMPT_TOKEN_WEIGHT : 1;
        decayedAveragesOf(name.model()).weightedTokensSlow +=
                weight * increase / SLOW_WINDOW_SECONDS;
        decayed(total).weightedTokensSlow += weight * increase / SLOW_WINDOW_SECONDS;
    }

    private Averages decayedAveragesOf(ModelId model) {
        return decayed(averagesByModel.computeIfAbsent(model, unused -> new Averages()));
    }

    private Averages decayed(Averages averages) {
        averages.decay(Math.max(newestRecordMillis, averages.atMillis));
        return averages;
    }

    /**
     * Records the number of requests running on all targets together. The mean duration of a
     * request is derived from it by Little's law.
     *
     * @param running the number of running requests
     * @param elapsedMillis the time since the previous call
     */
    public void observeRunning(int running, long elapsedMillis) {
        double weight =
                runningKnown ? 1 - Math.exp(-elapsedMillis / 1_000.0 / SLOW_WINDOW_SECONDS) : 1;
        meanRunning += weight * (running - meanRunning);
        runningKnown = true;
    }

    /**
     * Returns the estimated demand at the time of the newest record.
     *
     * @return the demand by model
     */
    public Map<ModelId, ModelDemand> demand() {
        averagesByModel.values().forEach(this::decayed);
        decayed(total);
        return averagesByModel.entrySet().stream()
                .collect(
                        Collectors.toUnmodifiableMap(
                                Map.Entry::getKey, entry -> demand(entry.getValue())));
    }

    private ModelDemand demand(Averages averages) {
        double fast = averages.offeredFast / warmUpFraction(FAST_WINDOW_SECONDS);
        double slow = averages.offeredSlow / warmUpFraction(SLOW_WINDOW_SECONDS);
        double seconds = secondsPerRequest(averages);
        return new ModelDemand(fast, fast * seconds, slow * seconds);
    }

    /** Returns the divisor that corrects an average for its start at 0 when records are few. */
    private double warmUpFraction(double windowSeconds) {
        double seconds = Math.max(1, (newestRecordMillis - firstRecordMillis) / 1_000.0);
        return 1 - Math.exp(-seconds / windowSeconds);
    }

    private double secondsPerRequest(Averages averages) {
        if (!runningKnown || total.servedSlow <= 0) {
            return DEFAULT_SECONDS_PER_REQUEST;
        }
        double meanSeconds = meanRunning / (total.servedSlow / warmUpFraction(SLOW_WINDOW_SECONDS));
        if (averages.servedSlow <= 0
                || averages.weightedTokensSlow <= 0
                || total.weightedTokensSlow <= 0) {
            return meanSeconds;
        }
        double tokensPerRequest = averages.weightedTokensSlow / averages.servedSlow;
        double meanTokensPerRequest = total.weightedTokensSlow / total.servedSlow;
        return meanSeconds * tokensPerRequest / meanTokensPerRequest;
    }
}
