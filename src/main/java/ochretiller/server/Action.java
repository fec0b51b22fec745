package ochretiller.server;

/** What to do next: it acts on the server and leaves continuations there for the results. */
@FunctionalInterface
public interface Action {
    /** Nothing to do. */
    Action NONE = server -> {};

    void execute(ServerActions server);

    default Action andThen(Action next) {
        return server -> {
            execute(server);
            next.execute(server);
        };
    }
}
