package org.tamaracktrack.standins.engine;

import com.beust.jcommander.Parameter;
import java.net.URI;
import java.util.List;
import org.tamaracktrack.standins.StandIn;
import org.tamaracktrack.standins.StandInFlags;

/** The flags of the model engine's stand-in. */
public final class EngineFlags extends StandInFlags {
    @Parameter(
            names = "--accelerator",
            description = "an accelerator as name=mebibytes; may be repeated")
    private List<String> accelerators = List.of("a0=24000");

    @Parameter(names = "--cache-mebibytes", description = "KV cache of each accelerator")
    private long cacheMebibytes;

    @Parameter(names = "--concurrency", description = "requests in one batch")
    private int concurrency = 8;

    @Parameter(names = "--queue-limit", description = "requests that may wait")
    private int queueLimit = 64;

    @Parameter(names = "--token-millis", description = "time for one token of a batch of one")
    private double tokenMillis = 5;

    @Parameter(names = "--batch-penalty", description = "added time for each further request")
    private double batchPenalty = 0.05;

    @Parameter(names = "--prompt-token-micros", description = "time to read one prompt token")
    private double promptTokenMicros = 100;

    @Parameter(names = "--prefix-cache", description = "prompt prefixes that are remembered")
    private int prefixCache = 64;

    @Parameter(names = "--time-factor", description = "how many times faster than the flags say")
    private double timeFactor = 1;

    @Parameter(names = "--weights", description = "address of the weight store")
    private String weights;

    @Parameter(names = "--load-millis", description = "time of a load without a weight store")
    private long loadMillis = 300;

    @Parameter(names = "--unload-millis", description = "time of an unload")
    private long unloadMillis = 20;

    @Parameter(names = "--load-lag-millis", description = "how old the published load figures are")
    private long loadLagMillis = 500;

    @Parameter(names = "--checks-fencing", description = "refuse orders with an old number")
    private boolean checksFencing;

    @Parameter(names = "--refuses-overcommit", description = "refuse orders without memory")
    private boolean refusesOvercommit;

    @Override
    public StandIn create() {
        BatchCosts costs =
                BatchCosts.of(
                        tokenMillis / timeFactor, batchPenalty, promptTokenMicros / timeFactor);
        MemoryBook memory = MemoryBook.of(cacheMebibytes, refusesOvercommit);
        accelerators.stream()
                .map(accelerator -> accelerator.split("=", 2))
                .forEach(parts -> memory.add(parts[0], Long.parseLong(parts[1])));
        return EngineStandIn.of(
                memory,
                OrderBook.of(checksFencing),
                BatchScheduler.of(costs, concurrency, queueLimit),
                PrefixCache.of(prefixCache),
                weightSource(),
                Math.round(unloadMillis / timeFactor),
                loadLagMillis);
    }

    private WeightSource weightSource() {
        return weights == null
                ? FixedTimeWeights.of(Math.round(loadMillis / timeFactor))
                : HttpWeights.of(URI.create("http://" + weights));
    }
}
