package ochretiller.audit;

/**
 * A fault of a hash chain or of its files. Immutable.
 *
 * @param number number of the first record affected
 * @param description description for operators, printed after the record's number
 */
public record ChainFault(long number, String description) {}
