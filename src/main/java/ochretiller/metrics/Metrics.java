package ochretiller.metrics;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.DoubleSupplier;

/**
 * The figures of a server by name. Counting costs an addition whether or not anybody reads; a
 * reader, where the operators' file asks for one, goes over {@link #all} on a thread of its own.
 */
public final class Metrics {
    /** Names are bounded by the code: none is made from what a peer sends. */
    private final List<Figure> figures = new ArrayList<>();

    /**
     * One figure.
     *
     * @param name lower case with underscores; a counter's ends in {@code _total}, one with a unit
     *     names it
     * @param counts it only grows
     * @param current its value, read from any thread
     */
    public record Figure(String name, String help, boolean counts, DoubleSupplier current) {}

    /** Counts what happens. */
    public static final class Counter {
        private final LongAdder sum = new LongAdder();

        public void add() {
            sum.increment();
        }

        public void add(long more) {
            sum.add(more);
        }

        public long value() {
            return sum.sum();
        }
    }

    /** A count since the start, with a name that ends in {@code _total}. */
    public synchronized Counter counter(String name, String help) {
        Counter counter = new Counter();
        figures.add(new Figure(name, help, true, counter::value));
        return counter;
    }

    /** A count that another part keeps. */
    public synchronized void counted(String name, String help, DoubleSupplier current) {
        figures.add(new Figure(name, help, true, current));
    }

    /** A value that goes up and down; it is read from another thread. */
    public synchronized void gauge(String name, String help, DoubleSupplier current) {
        figures.add(new Figure(name, help, false, current));
    }

    public synchronized List<Figure> all() {
        return List.copyOf(figures);
    }
}
