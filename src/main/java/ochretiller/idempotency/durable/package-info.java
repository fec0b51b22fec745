/**
 * What of a keyed invocation outlives the process, and how long anybody waits for the disk.
 *
 * <p><b>Job.</b> {@link ochretiller.idempotency.durable.DurabilityPolicy} decides whether a new
 * keyed invocation may run, how long its in-flight marker and its answer wait to be durable, and
 * when a failed disk is probed. {@link ochretiller.idempotency.durable.RecoveryDecision} decides
 * what becomes of the repeats of what a restart has found. {@link
 * ochretiller.idempotency.durable.IdempotencyRecord} is what is stored of each.
 *
 * <p><b>State.</b> The appends under way, whether the disk has failed, the probe's backoff.
 *
 * <p><b>Threads.</b> Owned by the event loop. Pure: no files, clocks or threads; time and random
 * numbers are handed in.
 *
 * <p><b>Neighbours.</b> {@code store} holds the records; {@code node} carries the decisions out;
 * {@code admission} asks whether new keys are accepted.
 *
 * <p><b>Format.</b> Records are keys and metadata of the store ({@code docs/store-format.md}); the
 * promises are in {@code docs/remembered-results.md}.
 */
package ochretiller.idempotency.durable;
