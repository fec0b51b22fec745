package ochretiller.server;

/**
 * The steps that follow from a decision, to be executed on a server. An action may register
 * continuations with the server for results that arrive later.
 */
@FunctionalInterface
public interface Action {
    /** Does nothing. */
    Action NONE = server -> {};

    /** Executes the action on {@code server}. */
    void execute(ServerActions server);

    /** Returns an action that executes this one and then {@code next}. */
    default Action andThen(Action next) {
        return server -> {
            execute(server);
            next.execute(server);
        };
    }
}
