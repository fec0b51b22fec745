/**
 * Idempotency within one process: recognizes repeated attempts and answers them with the result of
 * the original attempt.
 *
 * <p><b>Purpose.</b> {@link ochretiller.idempotency.IdempotencyCache} looks up the original of each
 * attempt, detects a repeat that uses the same key for a different request, and passes results to
 * repeats.
 *
 * <p><b>State.</b> One entry per original attempt, by key and by id, until its deduplication window
 * plus one client timeout has passed. Results are bounded in bytes; an entry without its result
 * remains, so that a repeat is answered with an error instead of being run.
 *
 * <p><b>Threads.</b> Owned by the event loop; no I/O, no clock.
 *
 * <p><b>Dependencies.</b> {@code admission} decides how a repeat is handled; {@code
 * idempotency.durable} decides what is persisted beyond the process; {@code node} executes both
 * decisions.
 *
 * <p><b>Format.</b> None. What is stored is described in {@code docs/remembered-results.md} and
 * {@code docs/store-format.md}.
 */
package ochretiller.idempotency;
