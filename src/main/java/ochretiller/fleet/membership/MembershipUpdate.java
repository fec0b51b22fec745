package ochretiller.fleet.membership;

/**
 * An update of the state of a member whose record the recipient has.
 *
 * @param accuser for {@link MemberState#SUSPECT}, the incarnation of the member whose probe was not
 *     answered; otherwise 0
 */
public record MembershipUpdate(
        long incarnation, long stateVersion, MemberState state, long accuser) {}
