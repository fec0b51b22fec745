/**
 * Idempotency within one process: which attempt repeats which, and the results that repeats are
 * answered with.
 *
 * <p><b>Job.</b> {@link ochretiller.idempotency.IdempotencyCache} looks up the original of each
 * attempt, tells whether a repeat asks for something else under the same key, and hands results to
 * repeats.
 *
 * <p><b>State.</b> One entry an original, by key and by id, until its window and one client timeout
 * are over. Results are bounded in bytes; an entry without its result stays, so that a repeat is
 * answered with an error rather than run.
 *
 * <p><b>Threads.</b> Owned by the event loop; no I/O, no clock.
 *
 * <p><b>Neighbours.</b> {@code admission} decides what becomes of a repeat; {@code
 * idempotency.durable} decides what of all this outlives the process; {@code node} carries both
 * out.
 *
 * <p><b>Format.</b> None. What is stored is described in {@code docs/remembered-results.md} and
 * {@code docs/store-format.md}.
 */
package ochretiller.idempotency;
