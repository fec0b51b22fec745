package ochretiller.idempotency.durable;

import static ochretiller.time.Durations.max;
import static ochretiller.time.Durations.min;

import java.time.Duration;
import java.util.SplittableRandom;
import java.util.TreeMap;

/**
 * Decides about the memory of keyed invocations: whether a new one can be marked, how long a mark
 * and an answer wait, when a sick disk is tried again, and what becomes of what a restart has
 * found.
 *
 * <p>The owner tells of each append by {@link #appendStarted} and {@link #appendCompleted}, and of what the store
 * says by {@link #storeStatusChanged}.
 */
public final class DurabilityPolicy {
    /**
     * Lead of the last moment at which a waiting answer leaves: the due time less a beat and the
     * way out.
     */
    private static final Duration LEAD = Duration.ofMillis(120);

    /**
     * Share of a pause by which chance moves it, so that many servers on one disk do not try at
     * once.
     */
    private static final double SPREAD = 0.5;

    /** How the disk does. */
    public enum DiskHealth {
        HEALTHY("well"),
        /** The oldest append waits longer than a disk may take. */
        STALLED("stalled"),
        /** It has failed, and nothing is written until a try finds it well. */
        UNAVAILABLE("sick");

        private final String externalName;

        DiskHealth(String externalName) {
            this.externalName = externalName;
        }

        /** The word by which log lines name it; it stays whatever the constant is called. */
        public String externalName() {
            return externalName;
        }
    }

    /** What becomes of what a restart has found under a token. */
    public enum RecoveryDecision {
        /** Its result answers repeats. */
        REPLAY,
        /** The processor may still know the run: its repeats wait for its word. */
        AWAIT_OUTCOME,
        /** It may have had its effect, and its result is not to be had: repeats are errored. */
        REJECT
    }

    private final DurabilityTimeouts patience;
    private final SplittableRandom chance;

    /** Appends under way, by number; each with the time at which it was asked for. */
    private final TreeMap<Long, Duration> waiting = new TreeMap<>();

    private boolean sick;
    private boolean room = true;
    private Duration blindUntil = Duration.ZERO;
    private Duration pause;
    private Duration tryAt;
    private boolean trying;

    public DurabilityPolicy(DurabilityTimeouts patience, SplittableRandom chance) {
        this.patience = patience;
        this.chance = chance;
        this.pause = patience.initialProbeInterval();
    }

    /**
     * Some of what was acknowledged before may be missing until then: no new keyed invocation may
     * run.
     */
    public void suspendNewKeysUntil(Duration until) {
        blindUntil = until;
    }

    /** An append is handed over. */
    public void appendStarted(long number, Duration now) {
        waiting.put(number, now);
    }

    /** An append is over, however it ended. */
    public void appendCompleted(long number) {
        waiting.remove(number);
    }

    /** What the store says of itself: whether it is well and has room for another key. */
    public void storeStatusChanged(boolean well, boolean hasRoom, Duration now) {
        room = hasRoom;
        if (well) {
            sick = false;
            trying = false;
            pause = patience.initialProbeInterval();
        } else if (!sick) {
            sick = true;
            tryAt = now.plus(spread(pause));
        }
    }

    private Duration spread(Duration span) {
        return Duration.ofNanos(
                (long) (span.toNanos() * (1 + SPREAD * (chance.nextDouble() - 0.5))));
    }

    public DiskHealth diskHealth(Duration now) {
        if (sick) {
            return DiskHealth.UNAVAILABLE;
        }
        boolean stalled =
                !waiting.isEmpty() && oldestAppendAge(now).compareTo(patience.stallThreshold()) > 0;
        return stalled ? DiskHealth.STALLED : DiskHealth.HEALTHY;
    }

    /** How long the append that was handed over first has waited. */
    public Duration oldestAppendAge(Duration now) {
        return waiting.isEmpty() ? Duration.ZERO : now.minus(waiting.firstEntry().getValue());
    }

    /**
     * Whether the mark of a new keyed invocation would be kept; one whose mark would not be must
     * not run.
     */
    public boolean acceptsNewKeys(Duration now) {
        return diskHealth(now) == DiskHealth.HEALTHY && room && now.compareTo(blindUntil) >= 0;
    }

    /** How long a run waits for its mark; none where the answer would be late anyhow. */
    public Duration markerTimeout(Duration due, Duration now) {
        return max(Duration.ZERO, min(patience.markerWait(), due.minus(LEAD).minus(now)));
    }

    /**
     * How long an answer waits for its result to be durable: on time it leaves in any case, and its
     * mark stands.
     */
    public Duration answerTimeout(Duration due, Duration now) {
        if (sick) {
            return Duration.ZERO;
        }
        return max(Duration.ZERO, min(patience.answerWait(), due.minus(LEAD).minus(now)));
    }

    /**
     * Whether a sick disk is to be tried now; each try that fails doubles the pause before the
     * next.
     */
    public boolean startProbeIfDue(Duration now) {
        if (!sick || trying || now.compareTo(tryAt) < 0) {
            return false;
        }
        trying = true;
        return true;
    }

    /** A try has failed. */
    public void probeFailed(Duration now) {
        trying = false;
        pause = min(pause.multipliedBy(2), patience.maxProbeInterval());
        tryAt = now.plus(spread(pause));
    }

    /**
     * What becomes of a mark that a restart has found.
     *
     * @param processorAt when the processor was started, store's time in milliseconds
     */
    public static RecoveryDecision decideRecovery(IdempotencyRecord mark, long processorAt) {
        return switch (mark.progress()) {
            case SUCCEEDED -> RecoveryDecision.REPLAY;
            case ENDED_WITHOUT_RESULT -> RecoveryDecision.REJECT;
            // A processor that was started later knows nothing of the run; one that was there may
            // tell of its end.
            case IN_FLIGHT ->
                    processorAt > mark.markedAtMillis()
                            ? RecoveryDecision.REJECT
                            : RecoveryDecision.AWAIT_OUTCOME;
        };
    }
}
