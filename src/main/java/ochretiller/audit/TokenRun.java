package ochretiller.audit;

/**
 * A run of a token, as one server's audit has it. Immutable.
 *
 * @param version the version in force
 * @param atMillis when it was begun, Unix milliseconds
 */
public record TokenRun(String server, long version, long atMillis) {}
