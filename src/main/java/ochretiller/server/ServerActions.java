package ochretiller.server;

/**
 * Everything that admission decisions can have a server do. The real server, the emulated one and
 * the simulator's wire each implement it. A continuation receives a result and returns the {@link
 * Action} that follows from it.
 *
 * <p>All methods are called on the thread that owns the decisions.
 */
public interface ServerActions
        extends RunActions, AnswerActions, IdempotencyActions, TimerActions, HealthActions {}
