/**
 * Admission control: what one server accepts, in which order it runs, what it rejects and what it
 * advertises to its clients.
 *
 * <p><b>Job.</b> {@link ochretiller.admission.AdmissionController} turns events (an invocation was
 * read, a run ended, a timer fired) into an {@link ochretiller.server.Action} for the host. Four
 * rules bind every decision: each invocation that was read gets exactly one final answer in time
 * (nothing lost); an effect that must not be repeated happens at most once (no effect twice); after
 * a shutdown notice nothing late is run and all that was read is answered (safe drain); memory,
 * cores and the downstream service are never driven past what they survive (nothing falls over).
 *
 * <p><b>Parts.</b> Each rule or estimate has a class of its own, which can be read and tested
 * alone:
 *
 * <ul>
 *   <li>what is open: {@code InvocationRegistry}, {@code TrackedInvocation}, {@code AdmissionQueue}
 *       with {@code QueueOrder}, {@code FeasibilityCheck} and {@code EvictionPolicy};
 *   <li>deduplication: {@code IdempotencyTable}, {@code IdempotencyEntry};
 *   <li>estimates: {@code CostEstimator}, {@code QuotaTracker};
 *   <li>limits: {@code ConcurrencyLimiter} with {@link ochretiller.admission.SlowStart}, {@code
 *       DownstreamCallLimiter}, {@code MemoryBudget}, {@code DrainState};
 *   <li>signals: {@code OverloadDetector}, {@code RetryAfterPolicy}, {@code RetryElsewherePolicy},
 *       {@code BackpressureAdvertiser};
 *   <li>steps that act on the host: {@code InvocationIntake}, {@code AdmissionGate}, {@code
 *       QueueShedder}, {@code Dispatcher}, {@code RunOutcomeHandler}, {@code
 *       DownstreamCallDispatcher}, {@code DeadlineEnforcer}, {@code Responder}.
 * </ul>
 *
 * <p><b>State.</b> All in memory, owned by one controller; nothing is stored here.
 *
 * <p><b>Thread.</b> Not thread-safe: the host calls the controller, and executes the actions that
 * it returns, on one thread. There is no I/O, no clock and no source of chance in this package; the
 * time comes from {@link ochretiller.server.ServerActions#now} and random numbers are handed in, so
 * that a simulation repeats to the digit.
 *
 * <p><b>Neighbours.</b> Above: {@code settings} builds the controller, the hosts in {@code node},
 * {@code sim} and the emulator drive it. Below: {@code server} (the port), {@code model} (values),
 * {@code time} (durations and sliding windows). The reasons for each rule are in {@code
 * docs/design.md}.
 */
package ochretiller.admission;
