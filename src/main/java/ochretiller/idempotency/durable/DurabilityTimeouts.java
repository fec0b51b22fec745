package ochretiller.idempotency.durable;

import java.time.Duration;

/**
 * How long invocations wait for the disk.
 *
 * @param markerWait longest wait for a mark before its invocation is throttled
 * @param answerWait longest wait of an answer for its result to be durable
 * @param stallThreshold age of the oldest append from which the disk counts as stalled
 * @param initialProbeInterval first pause before a sick disk is tried again; it doubles up to
 *     {@code most}
 * @param maxProbeInterval longest pause between two tries
 */
public record DurabilityTimeouts(
        Duration markerWait,
        Duration answerWait,
        Duration stallThreshold,
        Duration initialProbeInterval,
        Duration maxProbeInterval) {}
