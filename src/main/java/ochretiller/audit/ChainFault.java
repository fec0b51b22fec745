package ochretiller.audit;

/**
 * What is wrong with a chain. Immutable.
 *
 * @param number the record from which on it is wrong
 * @param description what is wrong with it, for people
 */
public record ChainFault(long number, String description) {}
