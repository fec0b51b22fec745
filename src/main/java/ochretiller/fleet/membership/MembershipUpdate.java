package ochretiller.fleet.membership;

/**
 * What is said of a member whose particulars are known.
 *
 * @param accuser the start of whoever it did not answer, for {@link MemberState#SUSPECT}; 0
 *     otherwise
 */
public record MembershipUpdate(
        long incarnation, long stateVersion, MemberState state, long accuser) {}
