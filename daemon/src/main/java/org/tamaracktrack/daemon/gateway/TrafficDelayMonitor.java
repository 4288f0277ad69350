package org.tamaracktrack.daemon.gateway;

import java.util.function.LongConsumer;

/** Measures at a fixed interval how late the traffic thread runs. Owned by the traffic thread. */
final class TrafficDelayMonitor {
    private final GatewayContext context;
    private final LongConsumer listener;

    private TrafficDelayMonitor(GatewayContext context, LongConsumer listener) {
        this.context = context;
        this.listener = listener;
    }

    /**
     * Starts to measure.
     *
     * @param listener receives the delay of each tick, in milliseconds
     */
    static void start(GatewayContext context, LongConsumer listener) {
        context.execute(new TrafficDelayMonitor(context, listener)::scheduleTick);
    }

    private void scheduleTick() {
        context.after(GatewayContext.TICK_MILLIS, this::tick);
    }

    private void tick() {
        scheduleTick();
        listener.accept(context.socketDelay().recordTick(context.now()));
    }
}
