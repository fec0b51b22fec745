package ochretiller.fleet.members;

/**
 * What is said of a member whose particulars are known.
 *
 * @param by the start of whoever it did not answer, for {@link State#SUSPECT}; 0 otherwise
 */
public record Entry(long start, long number, State state, long by) {}
