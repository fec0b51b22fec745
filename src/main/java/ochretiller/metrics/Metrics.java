package ochretiller.metrics;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.DoubleSupplier;

/**
 * The registry of a server's metrics. Counting costs an addition whether or not metrics are
 * exported; an exporter reads {@link #all} on a thread of its own. Safe for use by several threads.
 */
public final class Metrics {
    /** Bounded, since names are constants of the code and the operators' configuration. */
    private final List<Figure> figures = new ArrayList<>();

    /**
     * One metric.
     *
     * @param name lower case with underscores, with the unit if any; a counter's ends in {@code
     *     _total}
     * @param help what it measures, for people
     * @param counts whether it is a counter, which only grows, or else a gauge
     * @param current reads its value, on any thread
     */
    public record Figure(String name, String help, boolean counts, DoubleSupplier current) {}

    /** Counts events. Any thread. */
    public static final class Counter {
        private final LongAdder sum = new LongAdder();

        /** Counts one event. */
        public void add() {
            sum.increment();
        }

        /** Counts several events. */
        public void add(long more) {
            sum.add(more);
        }

        /** How many events were counted. */
        public long value() {
            return sum.sum();
        }
    }

    /** Registers a counter, whose name ends in {@code _total}. */
    public synchronized Counter counter(String name, String help) {
        Counter counter = new Counter();
        figures.add(new Figure(name, help, true, counter::value));
        return counter;
    }

    /** Registers a counter whose value is kept elsewhere and read on any thread. */
    public synchronized void counted(String name, String help, DoubleSupplier current) {
        figures.add(new Figure(name, help, true, current));
    }

    /** Registers a gauge, whose value is read on any thread. */
    public synchronized void gauge(String name, String help, DoubleSupplier current) {
        figures.add(new Figure(name, help, false, current));
    }

    /** All metrics, in the order of their registration. */
    public synchronized List<Figure> all() {
        return List.copyOf(figures);
    }
}
