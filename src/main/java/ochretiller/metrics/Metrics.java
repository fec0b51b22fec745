package ochretiller.metrics;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.DoubleSupplier;

/**
 * Registry of a server's metrics. Counting an event costs one addition, whether or not metrics are
 * exported; an exporter reads {@link #all} on its own thread. Safe for use by several threads.
 */
public final class Metrics {
    /** Bounded, since names come only from constants and from the operators' configuration. */
    private final List<Metric> metrics = new ArrayList<>();

    /**
     * One metric.
     *
     * @param name lower-case words joined by underscores, including the unit if any; the name of a
     *     counter ends in {@code _total}
     * @param help description for people
     * @param isCounter whether it is a counter, which only grows; otherwise it is a gauge
     * @param valueSupplier returns the current value; called on any thread
     */
    public record Metric(
            String name, String help, boolean isCounter, DoubleSupplier valueSupplier) {}

    /** Counts events. Any thread. */
    public static final class Counter {
        private final LongAdder sum = new LongAdder();

        /** Counts one event. */
        public void add() {
            sum.increment();
        }

        /** Counts several events. */
        public void add(long count) {
            sum.add(count);
        }

        /** Returns the number of events counted so far. */
        public long value() {
            return sum.sum();
        }
    }

    /** Registers and returns a counter; its name must end in {@code _total}. */
    public synchronized Counter counter(String name, String help) {
        Counter counter = new Counter();
        metrics.add(new Metric(name, help, true, counter::value));
        return counter;
    }

    /** Registers a counter whose value is read from a callback, on any thread. */
    public synchronized void counterWithCallback(String name, String help, DoubleSupplier current) {
        metrics.add(new Metric(name, help, true, current));
    }

    /** Registers a gauge whose value is read from a callback, on any thread. */
    public synchronized void gauge(String name, String help, DoubleSupplier current) {
        metrics.add(new Metric(name, help, false, current));
    }

    /** Returns a copy of all metrics, in the order of their registration. */
    public synchronized List<Metric> all() {
        return List.copyOf(metrics);
    }
}
