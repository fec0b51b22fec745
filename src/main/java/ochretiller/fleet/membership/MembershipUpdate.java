package ochretiller.fleet.membership;

/**
 * What is said of a member whose record the recipient has.
 *
 * @param accuser for {@link MemberState#SUSPECT} the incarnation of the member that it did not
 *     answer; 0 otherwise
 */
public record MembershipUpdate(
        long incarnation, long stateVersion, MemberState state, long accuser) {}
