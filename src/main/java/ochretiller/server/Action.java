package ochretiller.server;

/**
 * What a decision wants done, to be executed on a server. Actions may register continuations with
 * the server for results that come later.
 */
@FunctionalInterface
public interface Action {
    /** Does nothing. */
    Action NONE = server -> {};

    /** Carries the action out on {@code server}. */
    void execute(ServerActions server);

    /** Returns an action that executes this one and then {@code next}. */
    default Action andThen(Action next) {
        return server -> {
            execute(server);
            next.execute(server);
        };
    }
}
