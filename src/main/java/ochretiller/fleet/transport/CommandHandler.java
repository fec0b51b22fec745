package ochretiller.fleet.transport;

/** Carries out one of the operators' commands. Called on the event loop. */
@FunctionalInterface
public interface CommandHandler {
    /** Returns the answer to a command with these arguments, as JSON. */
    String handle(String arguments);
}
