/**
 * Admission control: what one server accepts, in which order it runs, what it rejects and what it
 * advertises to its clients.
 *
 * <p><b>Purpose.</b> {@link ochretiller.admission.AdmissionController} turns events (an invocation
 * was read, a run ended, a timer fired) into an {@link ochretiller.server.Action} for the host.
 * Every decision obeys four rules: each invocation that was read gets exactly one final answer in
 * time; an effect that must not be repeated happens at most once; after a shutdown notice no late
 * arrival runs and all invocations that were read are answered (safe drain); memory, cores and the
 * downstream service are never loaded beyond what they survive.
 *
 * <p><b>Parts.</b> Each policy or estimate has its own class, which can be read and tested
 * separately:
 *
 * <ul>
 *   <li>open invocations: {@code InvocationRegistry}, {@code TrackedInvocation}, {@code
 *       AdmissionQueue} with {@code QueueOrder}, {@code FeasibilityCheck} and {@code
 *       EvictionPolicy};
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
 * <p><b>State.</b> All in memory, owned by one controller; nothing is persisted here.
 *
 * <p><b>Thread.</b> Not thread-safe: the host calls the controller, and executes the actions that
 * it returns, on one thread. This package has no I/O, no clock and no random source of its own; the
 * time comes from {@link ochretiller.server.ServerActions#now} and the random source is passed in,
 * so that a simulation is exactly reproducible.
 *
 * <p><b>Dependencies.</b> Above: {@code settings} builds the controller, the hosts in {@code node},
 * {@code sim} and the emulator drive it. Below: {@code server} (the port), {@code model} (values),
 * {@code time} (durations and sliding windows). The reasons for each rule are in {@code
 * docs/design.md}.
 */
package ochretiller.admission;
