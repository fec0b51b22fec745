package ochretiller.server;

/**
 * All operations that admission decisions can request from a server. The real server, the emulated
 * server and the simulator protocol each implement it. A continuation receives a result and returns
 * the {@link Action} that follows from it.
 *
 * <p>All methods are called on the thread that owns the decisions.
 */
public interface ServerActions
        extends RunActions, AnswerActions, IdempotencyActions, TimerActions, HealthActions {}
