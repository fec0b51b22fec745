package ochretiller.idempotency.durable;

import java.time.Duration;

/**
 * How long invocations wait for the disk. Immutable.
 *
 * @param markerWait longest wait for an in-flight marker before its invocation is throttled
 * @param answerWait longest wait of an answer for its result to be durable
 * @param stallThreshold age of the oldest append from which the disk counts as stalled
 * @param initialProbeInterval first pause before a failed disk is probed; it doubles up to {@code
 *     maxProbeInterval}
 * @param maxProbeInterval longest pause between two probes
 */
public record DurabilityTimeouts(
        Duration markerWait,
        Duration answerWait,
        Duration stallThreshold,
        Duration initialProbeInterval,
        Duration maxProbeInterval) {}
