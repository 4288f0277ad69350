package org.tamaracktrack.daemon.load;

import java.util.PriorityQueue;

/** A timer that runs tasks when a test advances its time. */
final class VirtualTime implements LoadExchange.Timer {
    private final PriorityQueue<Task> tasks = new PriorityQueue<>();
    private long nowMillis;

    private record Task(long atMillis, Runnable run) implements Comparable<Task> {
        @Override
        public int compareTo(Task other) {
            return Long.compare(atMillis, other.atMillis);
        }
    }

    @Override
    public void after(long delayMillis, Runnable task) {
        tasks.add(new Task(nowMillis + delayMillis, task));
    }

    @Override
    public long nowMillis() {
        return nowMillis;
    }

    void advance(long millis) {
        long untilMillis = nowMillis + millis;
        while (!tasks.isEmpty() && tasks.peek().atMillis() <= untilMillis) {
            Task next = tasks.remove();
            nowMillis = next.atMillis();
            next.run().run();
        }
        nowMillis = untilMillis;
    }
}
