package ochretiller.server;

/** What to do next: it acts on the server and leaves continuations there for the results. */
@FunctionalInterface
public interface Step {
    /** Nothing to do. */
    Step NONE = server -> {};

    void act(Server server);

    default Step and(Step next) {
        return server -> {
            act(server);
            next.act(server);
        };
    }
}
