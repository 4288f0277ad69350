package org.tamaracktrack.core.copies;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.stream.Stream;

/**
 * Simulates engines that load models from the weight store whenever the limiter allows it. Some
 * orders are left unanswered and are carried out seconds later, unless the engine has accepted
 * another order by then.
 */
final class LateLoadSimulation {
    private static final long STEP_MILLIS = 50;
    private static final long END_MILLIS = 60_000;
    private static final long LOAD_MILLIS = 1_500;
    private static final long ANSWER_TIMEOUT_MILLIS = 800;
    private static final long REPORT_INTERVAL_MILLIS = 400;
    private static final int LONGEST_DELAY_MILLIS = 10_000;
    private static final int SHORTEST_DELAY_MILLIS = 2_000;

    private final Random random;
    private final double loadsPerSecond;
    private final double unansweredRatio;
    private final List<Engine> engines;
    private final StoreLoadLimiter limiter = StoreLoadLimiter.empty();
    private final List<Long> startedMillis = new ArrayList<>();
    private long nowMillis;

    private LateLoadSimulation(
            Random random, int engines, double loadsPerSecond, double unansweredRatio) {
        this.random = random;
        this.loadsPerSecond = loadsPerSecond;
        this.unansweredRatio = unansweredRatio;
        this.engines = Stream.generate(Engine::new).limit(engines).toList();
    }

    /**
     * Runs a random simulation.
     *
     * @return the times at which loads began, in milliseconds
     */
    static List<Long> run(long seed, int engines, double loadsPerSecond, double unansweredRatio) {
        LateLoadSimulation simulation =
                new LateLoadSimulation(new Random(seed), engines, loadsPerSecond, unansweredRatio);
        simulation.play();
        return simulation.startedMillis;
    }

    private void play() {
        for (nowMillis = 0; nowMillis < END_MILLIS; nowMillis += STEP_MILLIS) {
            engines.forEach(Engine::carryOutLateOrders);
            engines.forEach(Engine::report);
            engines.stream()
                    .filter(Engine::mayReceiveOrder)
                    .filter(engine -> limiter.allows(loadsPerSecond, nowMillis))
                    .forEach(Engine::receiveOrder);
        }
    }

    private record LateOrder(long expectedOrders, long atMillis) {}

    private final class Engine {
        private final List<LateOrder> lateOrders = new ArrayList<>();
        private long acceptedOrders;
        private long busyUntilMillis;
        private long nextReportMillis;
        private boolean uncertain;

        private boolean mayReceiveOrder() {
            return !uncertain && nowMillis >= busyUntilMillis;
        }

        private void receiveOrder() {
            limiter.recordLoad(nowMillis);
            if (random.nextDouble() >= unansweredRatio) {
                accept();
                return;
            }
            long delayMillis = SHORTEST_DELAY_MILLIS + random.nextInt(LONGEST_DELAY_MILLIS);
            lateOrders.add(new LateOrder(acceptedOrders, nowMillis + delayMillis));
            uncertain = true;
            nextReportMillis = nowMillis + ANSWER_TIMEOUT_MILLIS;
        }

        private void accept() {
            acceptedOrders++;
            busyUntilMillis = nowMillis + LOAD_MILLIS;
            startedMillis.add(nowMillis);
        }

        private void carryOutLateOrders() {
            lateOrders.stream()
                    .filter(order -> order.atMillis() <= nowMillis)
                    .filter(order -> order.expectedOrders() == acceptedOrders)
                    .findFirst()
                    .ifPresent(order -> accept());
            lateOrders.removeIf(order -> order.atMillis() <= nowMillis);
        }

        private void report() {
            if (nowMillis >= nextReportMillis) {
                nextReportMillis = nowMillis + REPORT_INTERVAL_MILLIS;
                uncertain = false;
            }
        }
    }
}
