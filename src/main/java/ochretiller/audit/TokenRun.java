package ochretiller.audit;

/**
 * A run of a token in one server's audit. Immutable.
 *
 * @param version number of the active version
 * @param atMillis start of the run, Unix milliseconds
 */
public record TokenRun(String server, long version, long atMillis) {}
