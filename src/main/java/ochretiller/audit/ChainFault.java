package ochretiller.audit;

/**
 * A fault of a hash chain or of its files. Immutable.
 *
 * @param number number of the first record affected
 * @param description description for operators, of which that record is the subject
 */
public record ChainFault(long number, String description) {}
