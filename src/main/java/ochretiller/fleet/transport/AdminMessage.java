package ochretiller.fleet.transport;

/**
 * A request of an operators' command or the answer to it.
 *
 * @param fleet name of the fleet
 * @param challenge drawn by the server for each connection: a message that was recorded on one
 *     connection is of no use on another
 * @param command name of the command; {@code hello} in the server's first message
 * @param text arguments of the command or content of the answer
 */
public record AdminMessage(String fleet, String challenge, String command, String text) {}
