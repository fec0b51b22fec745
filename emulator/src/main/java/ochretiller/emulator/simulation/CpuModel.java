package ochretiller.emulator.simulation;

import java.util.Comparator;
import java.util.PriorityQueue;
import ochretiller.emulator.core.EventQueue;

/**
 * Cores that all work on them shares evenly. Past a crowd a part of the speed is lost, as caches
 * and locks take it; a cold box is slower and warms up; it may be slowed or stand still.
 */
final class CpuModel {
    /** How often the speed of a warming box is looked at, seconds. */
    private static final double WARMS = 0.1;

    private final EventQueue events;
    private final int cores;
    private final double crowd;
    private final double loss;
    private final double coldShare;
    private final double coldS;
    private final double startedAt;
    private final PriorityQueue<Job> jobs =
            new PriorityQueue<>(
                    Comparator.comparingDouble((Job job) -> job.ends)
                            .thenComparing(job -> job.number));
    private long numbers;

    /** Work that each job has had since the start, seconds on a whole core. */
    private double served;

    private double servedAt;
    private double speed;
    private double slower = 1;
    private boolean paused;
    private EventQueue.Event next;
    private double busy;
    private double lookedAt;
    private double lookedBusy;

    /** Work on the cores. */
    final class Job {
        private final double ends;
        private final long number = ++numbers;
        private final Runnable then;

        private Job(double ends, Runnable then) {
            this.ends = ends;
            this.then = then;
        }
    }

    CpuModel(
            EventQueue events,
            int cores,
            double crowd,
            double loss,
            double coldShare,
            double coldS,
            boolean cold) {
        this.events = events;
        this.cores = cores;
        this.crowd = crowd;
        this.loss = loss;
        this.coldShare = coldShare;
        this.coldS = cold ? coldS : 0;
        this.startedAt = servedAt = lookedAt = events.seconds();
        if (this.coldS > 0) {
            warm();
        }
    }

    private void warm() {
        change(() -> {});
        if (events.seconds() < startedAt + coldS) {
            events.after(WARMS, this::warm);
        }
    }

    /** Adds work of so many seconds. */
    Job add(double seconds, Runnable then) {
        Job[] made = new Job[1];
        change(() -> jobs.add(made[0] = new Job(served + seconds, then)));
        return made[0];
    }

    void remove(Job job) {
        change(() -> jobs.remove(job));
    }

    void slow(double times) {
        change(() -> slower = times);
    }

    void pause(boolean stands) {
        change(() -> paused = stands);
    }

    void clear() {
        change(jobs::clear);
    }

    int running() {
        return jobs.size();
    }

    /** Speed of one job, in whole cores. */
    private double speed() {
        int n = jobs.size();
        if (n == 0 || paused) {
            return 0;
        }
        double lost = Math.max(0, (double) n / cores / crowd - 1) * loss;
        double warmth = coldS == 0 ? 1 : Math.min(1, (events.seconds() - startedAt) / coldS);
        return Math.min(1, (double) cores / n)
                / (1 + lost)
                * (coldShare + (1 - coldShare) * warmth)
                / slower;
    }

    private void advance() {
        double now = events.seconds();
        served += (now - servedAt) * speed;
        busy += (now - servedAt) * (paused ? 1 : Math.min(1, (double) jobs.size() / cores));
        servedAt = now;
    }

    private void change(Runnable what) {
        advance();
        what.run();
        speed = speed();
        if (next != null) {
            next.cancel();
        }
        next =
                jobs.isEmpty() || speed == 0
                        ? null
                        : events.after(
                                Math.max(0, (jobs.peek().ends - served) / speed) + 1e-9, this::end);
    }

    private void end() {
        next = null;
        advance();
        // A little room for what rounding leaves.
        Job over = !jobs.isEmpty() && jobs.peek().ends <= served + 1e-9 ? jobs.poll() : null;
        change(() -> {});
        if (over != null) {
            over.then.run();
        }
    }

    /** Share of the cores that was busy since the last look. */
    double use() {
        advance();
        double span = events.seconds() - lookedAt;
        double use = span <= 0 ? 0 : (busy - lookedBusy) / span;
        lookedAt = events.seconds();
        lookedBusy = busy;
        return use;
    }
}
