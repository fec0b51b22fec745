/**
 * The server process: reads the configuration, creates the components, connects them to the
 * admission controller, and runs them on one thread.
 *
 * <ul>
 *   <li>{@link ochretiller.node.ServerNode} creates and runs a server; {@code OperatorWiring}
 *       creates the components that its operators enable, and {@code OperatorFeatures} holds them,
 *       or a no-op for each that is disabled.
 *   <li>{@code AdmissionSession} reports events to the admission controller; {@code
 *       ServerActionsAdapter} executes the resulting actions; {@code InvocationExecutor} takes each
 *       run through the states of {@code RunState}.
 *   <li>{@code DurableIdempotency} stores markers and results on disk; {@code PreviousRunRecovery}
 *       and {@code PreviousRuns} handle the records of previous processes.
 *   <li>{@link ochretiller.node.ProcessLifecycle}, {@code GracefulShutdown} and {@link
 *       ochretiller.node.ReloadSignal} handle signals and the shutdown.
 * </ul>
 *
 * <p>State: all state of a running server. Threads: {@link ochretiller.node.EventLoop} owns the
 * state, so there are no locks; blocking work runs on other threads and posts its results back.
 * Dependencies: the entry point and the commands use this package; it uses all frontends, backends
 * and services.
 */
package ochretiller.node;
