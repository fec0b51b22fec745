package ochretiller.fleet.transport;

/** Executes one of the operators' commands on a server. Called on the event loop. */
@FunctionalInterface
public interface CommandHandler {
    /** Executes the command with these arguments and returns the answer, as JSON. */
    String handle(String arguments);
}
