package ochretiller.emulator.simulation;

import java.util.Comparator;
import java.util.PriorityQueue;
import ochretiller.emulator.core.EventQueue;

/**
 * Models cores under processor sharing: all jobs progress at the same speed. Many concurrent jobs
 * reduce that speed, as cache misses and lock contention do; a cold server starts slower and warms
 * up; a server may be slowed down or paused.
 */
final class CpuModel {
    /** Interval at which the speed is updated during warm-up, seconds. */
    private static final double WARM_UP_STEP_S = 0.1;

    private final EventQueue events;
    private final int cores;

    /** Jobs per core above which each job slows down. */
    private final double overloadThreshold;

    /** Slowdown that each further {@code overloadThreshold} jobs per core add. */
    private final double overloadLoss;

    private final double coldSpeed;
    private final double warmUpSeconds;
    private final double startedAt;
    private final PriorityQueue<Job> jobs =
            new PriorityQueue<>(
                    Comparator.comparingDouble((Job job) -> job.endsAtServed)
                            .thenComparing(job -> job.number));
    private long lastJobNumber;

    /** Core time that a job present since the start would have received, seconds. */
    private double servedSeconds;

    private double updatedAt;
    private double speed;
    private double slowdown = 1;
    private boolean paused;
    private EventQueue.Event nextCompletion;
    private double busySeconds;
    private double sampledAt;
    private double sampledBusySeconds;

    /** Work on the cores. */
    final class Job {
        /** Value of {@code servedSeconds} at which the job is complete. */
        private final double endsAtServed;

        private final long number = ++lastJobNumber;
        private final Runnable onCompletion;

        private Job(double endsAtServed, Runnable onCompletion) {
            this.endsAtServed = endsAtServed;
            this.onCompletion = onCompletion;
        }
    }

    CpuModel(
            EventQueue events,
            int cores,
            double overloadThreshold,
            double overloadLoss,
            double coldSpeed,
            double warmUpSeconds,
            boolean cold) {
        this.events = events;
        this.cores = cores;
        this.overloadThreshold = overloadThreshold;
        this.overloadLoss = overloadLoss;
        this.coldSpeed = coldSpeed;
        this.warmUpSeconds = cold ? warmUpSeconds : 0;
        this.startedAt = updatedAt = sampledAt = events.nowSeconds();
        if (this.warmUpSeconds > 0) {
            warmUp();
        }
    }

    private void warmUp() {
        applyChange(() -> {});
        if (events.nowSeconds() < startedAt + warmUpSeconds) {
            events.schedule(WARM_UP_STEP_S, this::warmUp);
        }
    }

    /** Adds a job that takes {@code seconds} of core time. */
    Job add(double seconds, Runnable onCompletion) {
        Job[] job = new Job[1];
        applyChange(() -> jobs.add(job[0] = new Job(servedSeconds + seconds, onCompletion)));
        return job[0];
    }

    void remove(Job job) {
        applyChange(() -> jobs.remove(job));
    }

    void setSlowdown(double factor) {
        applyChange(() -> slowdown = factor);
    }

    void setPaused(boolean isPaused) {
        applyChange(() -> paused = isPaused);
    }

    void clear() {
        applyChange(jobs::clear);
    }

    int jobCount() {
        return jobs.size();
    }

    /** Returns the core time per second that each job receives. */
    private double speed() {
        int jobCount = jobs.size();
        if (jobCount == 0 || paused) {
            return 0;
        }
        double overloadSlowdown =
                Math.max(0, (double) jobCount / cores / overloadThreshold - 1) * overloadLoss;
        double warmUpProgress =
                warmUpSeconds == 0
                        ? 1
                        : Math.min(1, (events.nowSeconds() - startedAt) / warmUpSeconds);
        return Math.min(1, (double) cores / jobCount)
                / (1 + overloadSlowdown)
                * (coldSpeed + (1 - coldSpeed) * warmUpProgress)
                / slowdown;
    }

    private void advance() {
        double now = events.nowSeconds();
        servedSeconds += (now - updatedAt) * speed;
        busySeconds += (now - updatedAt) * (paused ? 1 : Math.min(1, (double) jobs.size() / cores));
        updatedAt = now;
    }

    private void applyChange(Runnable update) {
        advance();
        update.run();
        speed = speed();
        if (nextCompletion != null) {
            nextCompletion.cancel();
        }
        nextCompletion =
                jobs.isEmpty() || speed == 0
                        ? null
                        : events.schedule(
                                Math.max(0, (jobs.peek().endsAtServed - servedSeconds) / speed)
                                        + 1e-9,
                                this::completeFirstJob);
    }

    private void completeFirstJob() {
        nextCompletion = null;
        advance();
        // The tolerance covers rounding errors.
        Job completed =
                !jobs.isEmpty() && jobs.peek().endsAtServed <= servedSeconds + 1e-9
                        ? jobs.poll()
                        : null;
        applyChange(() -> {});
        if (completed != null) {
            completed.onCompletion.run();
        }
    }

    /** Returns the mean share of busy cores since the previous call; when paused, all are busy. */
    double sampleUtilization() {
        advance();
        double elapsed = events.nowSeconds() - sampledAt;
        double utilization = elapsed <= 0 ? 0 : (busySeconds - sampledBusySeconds) / elapsed;
        sampledAt = events.nowSeconds();
        sampledBusySeconds = busySeconds;
        return utilization;
    }
}
