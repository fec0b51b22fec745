/**
 * The persistent state of keyed invocations, and how long runs and answers wait for the disk.
 *
 * <p><b>Purpose.</b> {@link ochretiller.idempotency.durable.DurabilityPolicy} decides whether a new
 * keyed invocation may run, how long its run waits for a durable in-flight marker and its answer
 * for a durable result, and when a failed disk is probed. {@link
 * ochretiller.idempotency.durable.RecoveryDecision} decides how repeats of an invocation found at a
 * restart are answered. {@link ochretiller.idempotency.durable.IdempotencyRecord} is the stored
 * form of an invocation.
 *
 * <p><b>State.</b> The pending appends, whether the disk has failed, the probe backoff.
 *
 * <p><b>Threads.</b> Confined to the event loop. Uses no files, clocks or threads; callers pass
 * time and random numbers.
 *
 * <p><b>Dependencies.</b> {@code store} holds the records; {@code node} executes the decisions;
 * {@code admission} checks whether new keys are accepted.
 *
 * <p><b>Format.</b> Records are keys and metadata of the store ({@code docs/store-format.md}); the
 * guarantees are in {@code docs/remembered-results.md}.
 */
package ochretiller.idempotency.durable;
