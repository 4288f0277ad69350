package org.tamaracktrack.standins.engine;

import com.beust.jcommander.Parameter;
import java.net.URI;
import java.util.List;
import org.tamaracktrack.standins.StandIn;
import org.tamaracktrack.standins.StandInFlags;

/** Holds the flags of the model engine stand-in. */
public final class EngineFlags extends StandInFlags {
    @Parameter(
            names = "--accelerator",
            description = "an accelerator as name=mebibytes; repeatable")
    private List<String> accelerators = List.of("a0=24000");

    @Parameter(
            names = "--cache-mebibytes",
            description = "size of the KV cache of each accelerator")
    private long cacheMebibytes;

    @Parameter(names = "--concurrency", description = "maximum requests in the batch")
    private int concurrency = 8;

    @Parameter(names = "--queue-limit", description = "maximum queued requests")
    private int queueLimit = 64;

    @Parameter(names = "--token-millis", description = "time per token in a batch of one request")
    private double tokenMillis = 5;

    @Parameter(
            names = "--batch-penalty",
            description = "share of the token time that each further request adds")
    private double batchPenalty = 0.05;

    @Parameter(names = "--prompt-token-micros", description = "time to process one prompt token")
    private double promptTokenMicros = 100;

    @Parameter(names = "--prefix-cache", description = "capacity of the prefix cache in prefixes")
    private int prefixCacheCapacity = 64;

    @Parameter(
            names = "--time-factor",
            description = "divisor of the token, prompt, load and unload times")
    private double timeFactor = 1;

    @Parameter(names = "--weights", description = "address of the weight store")
    private String weightStoreAddress;

    @Parameter(names = "--load-millis", description = "duration of a load without a weight store")
    private long loadMillis = 300;

    @Parameter(names = "--unload-millis", description = "duration of an unload")
    private long unloadMillis = 20;

    @Parameter(names = "--load-lag-millis", description = "age of the published load figures")
    private long loadLagMillis = 500;

    @Parameter(names = "--checks-fencing", description = "refuse orders with an old fencing number")
    private boolean checksFencing;

    @Parameter(
            names = "--refuses-overcommit",
            description = "refuse loads that don't fit into memory")
    private boolean refusesOvercommit;

    @Override
    public StandIn create() {
        BatchCosts costs =
                BatchCosts.of(
                        tokenMillis / timeFactor, batchPenalty, promptTokenMicros / timeFactor);
        AcceleratorMemory memory = AcceleratorMemory.of(cacheMebibytes, refusesOvercommit);
        accelerators.stream()
                .map(accelerator -> accelerator.split("=", 2))
                .forEach(parts -> memory.addAccelerator(parts[0], Long.parseLong(parts[1])));
        return EngineStandIn.of(
                memory,
                OrderTracker.of(checksFencing),
                BatchScheduler.of(costs, concurrency, queueLimit),
                PrefixCache.of(prefixCacheCapacity),
                weightSource(),
                Math.round(unloadMillis / timeFactor),
                loadLagMillis);
    }

    private WeightSource weightSource() {
        return weightStoreAddress == null
                ? FixedDelayWeightSource.of(Math.round(loadMillis / timeFactor))
                : HttpWeightSource.of(URI.create("http://" + weightStoreAddress));
    }
}
