package ochretiller.pools;

import static ochretiller.time.Durations.inSeconds;
import static ochretiller.time.Durations.max;
import static ochretiller.time.Durations.min;

import java.time.Duration;
import ochretiller.time.SlidingWindow;

/** What a pool knows of one worker. */
final class WorkerHealth {
    /** How the worker stands with its pool. */
    enum State {
        IN,
        /** It gets nothing until its time is over. */
        OUT,
        /** It gets a few requests, to see whether it is well again. */
        TRIED,
        /** It ends what it has and gets nothing more. */
        DRAINED
    }

    /**
     * Ends are looked back at over two seconds: long enough for a share, short enough to forget a
     * hiccup.
     */
    static final Duration BUCKET = Duration.ofMillis(250);

    static final int BUCKETS = 8;

    /** Time in which what is known of one that gets nothing halves. */
    private static final Duration FORGETS = Duration.ofSeconds(2);

    /** Ends that a share needs to be one. */
    private static final int ENOUGH = 10;

    /** Least part that a fresh worker gets, so that its first requests come at all. */
    private static final double LEAST_PART = 0.1;

    /**
     * A worker that was never measured counts as this fast, seconds: as good as a fast one, so that
     * it is tried.
     */
    private static final double UNKNOWN = 0.001;

    final WorkerId id;
    State state = State.IN;
    int inFlight;

    /** A view of the fleet does not see it. An opinion: it counts only while others are left. */
    boolean away;

    private Duration inSince;
    private Duration outUntil = Duration.ZERO;
    private Duration outFor;
    private double lastMean = UNKNOWN;
    private Duration lastAt = Duration.ZERO;
    private int badInRow;
    private int goodProbes;
    private final SlidingWindow took = new SlidingWindow(BUCKET, BUCKETS);
    private final SlidingWindow bad = new SlidingWindow(BUCKET, BUCKETS);

    WorkerHealth(WorkerId id, Duration now, Duration outFor) {
        this.id = id;
        this.inSince = now;
        this.outFor = outFor;
    }

    /** Whether it may have one more request. */
    boolean takes(PoolSettings settings, Duration now) {
        return inFlight < most(settings, now);
    }

    /** Requests that it may have at once. */
    int most(PoolSettings settings, Duration now) {
        if (state == State.OUT && now.compareTo(outUntil) >= 0) {
            state = State.TRIED;
            goodProbes = 0;
        }
        return switch (state) {
            case IN -> Math.max(1, (int) (settings.mostInFlight() * part(settings, now)));
            case TRIED -> settings.probes();
            case OUT, DRAINED -> 0;
        };
    }

    /** Its part of what a worker gets that has long been in, 0 to 1. */
    private double part(PoolSettings settings, Duration now) {
        if (settings.slowStart().isZero()) {
            return 1;
        }
        double since = inSeconds(now.minus(inSince)) / inSeconds(settings.slowStart());
        return Math.min(1, Math.max(LEAST_PART, since));
    }

    /** Time until one more request would be answered, as far as can be told; less is better. */
    double cost(PoolSettings settings, Duration now) {
        return (inFlight + 1)
                * Math.max(UNKNOWN, took.mean(now, remembered(now)))
                / part(settings, now);
    }

    /**
     * Without an end of late the last mean counts, for less and less: a slow one is tried again by
     * a few, not by a burst.
     */
    private double remembered(Duration now) {
        return lastMean * Math.pow(0.5, inSeconds(now.minus(lastAt)) / inSeconds(FORGETS));
    }

    void ended(RequestOutcome end, Duration span, PoolSettings settings, Duration now) {
        inFlight--;
        if (end == RequestOutcome.GIVEN_UP) {
            return; // no word on whether it is well; a probe that ends so makes room for the next
        }
        // A failure that comes fast must not make a worker look fast: only what was answered
        // measures it.
        if (end.good() || end == RequestOutcome.SILENT) {
            took.add(now, inSeconds(span), 1);
            lastMean = took.mean(now, UNKNOWN);
            lastAt = now;
        }
        bad.add(now, end.good() ? 0 : 1, 1);
        badInRow = end.good() ? 0 : badInRow + 1;
        if (state == State.TRIED) {
            tried(end, settings, now);
        } else if (state == State.IN && sick(settings, now)) {
            leaveOut(settings, now);
        }
    }

    private boolean sick(PoolSettings settings, Duration now) {
        return badInRow >= settings.failuresInRow()
                || bad.weight(now) >= ENOUGH && bad.mean(now, 0) >= settings.badShare();
    }

    private void tried(RequestOutcome end, PoolSettings settings, Duration now) {
        if (!end.good()) {
            outFor = min(outFor.multipliedBy(2), settings.mostLeftOut());
            leaveOut(settings, now);
        } else if (++goodProbes >= settings.probes()) {
            state = State.IN;
            inSince = now;
            badInRow = 0;
            bad.clear();
            outFor =
                    max(
                            settings.leftOut(),
                            outFor.dividedBy(
                                    2)); // one that falls out again soon waits longer again
        }
    }

    private void leaveOut(PoolSettings settings, Duration now) {
        state = State.OUT;
        outUntil = now.plus(outFor);
    }
}
