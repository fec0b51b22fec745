/**
 * One server: reads its configuration, builds its parts, connects them to the admission controller,
 * and runs them on one thread.
 *
 * <ul>
 *   <li>{@link ochretiller.node.ServerNode} builds a server and runs it; {@code OperatorWiring}
 *       builds the parts that its operators have switched on, and {@code OperatorFeatures} holds
 *       them, or a no-op for each that is off.
 *   <li>{@code AdmissionSession} tells the admission controller what happens; {@code
 *       ServerActionsAdapter} carries out what it decides; {@code InvocationExecutor} takes each
 *       run through the steps that {@code RunState} lists.
 *   <li>{@code DurableIdempotency} stores markers and results on disk; {@code PreviousRunRecovery}
 *       and {@code PreviousRuns} deal with those that previous processes have left.
 *   <li>{@link ochretiller.node.ProcessLifecycle}, {@code GracefulShutdown} and {@link
 *       ochretiller.node.ReloadSignal} handle the process's signals.
 * </ul>
 *
 * <p>State: everything that a running server knows. Thread: {@link ochretiller.node.EventLoop} owns
 * all state, so there are no locks; blocking work happens elsewhere and posts its result back.
 * Neighbours: the entry point and commands use this package; it uses all frontends, backends and
 * services.
 */
package ochretiller.node;
