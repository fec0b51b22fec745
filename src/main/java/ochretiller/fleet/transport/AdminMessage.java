package ochretiller.fleet.transport;

/**
 * A request on an admin connection, or the server's answer.
 *
 * @param fleet name of the fleet
 * @param challenge random text that the server generates for each connection, so that a message
 *     recorded on one connection cannot be replayed on another
 * @param command name of the command; {@code hello} in the server's first message
 * @param text arguments of the command or content of the answer
 */
public record AdminMessage(String fleet, String challenge, String command, String text) {}
