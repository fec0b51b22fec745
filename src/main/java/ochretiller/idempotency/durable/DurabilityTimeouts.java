package ochretiller.idempotency.durable;

import java.time.Duration;

/**
 * How long invocations wait for the disk, and how often a failed disk is probed. Immutable.
 *
 * @param markerWait longest wait for an in-flight marker before its invocation is throttled
 * @param answerWait longest wait of an answer for its result to become durable
 * @param stallThreshold age of the oldest pending append above which the disk counts as stalled
 * @param initialProbeInterval delay before the first probe of a failed disk; doubles up to {@code
 *     maxProbeInterval}
 * @param maxProbeInterval longest delay between two probes
 */
public record DurabilityTimeouts(
        Duration markerWait,
        Duration answerWait,
        Duration stallThreshold,
        Duration initialProbeInterval,
        Duration maxProbeInterval) {}
