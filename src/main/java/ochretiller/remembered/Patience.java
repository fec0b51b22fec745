package ochretiller.remembered;

import java.time.Duration;

/**
 * How long invocations wait for the disk.
 *
 * @param mark longest wait for a mark before its invocation is throttled
 * @param answer longest wait of an answer for its result to be durable
 * @param stall age of the oldest append from which the disk counts as stalled
 * @param probe first pause before a sick disk is tried again; it doubles up to {@code most}
 * @param most longest pause between two tries
 */
public record Patience(
        Duration mark, Duration answer, Duration stall, Duration probe, Duration most) {}
