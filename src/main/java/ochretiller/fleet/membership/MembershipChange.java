package ochretiller.fleet.membership;

import java.util.Optional;

/** An event in the view, for log lines and for components of the server that use the view. */
public sealed interface MembershipChange {
    /** The member concerned; this server itself for some changes. */
    Member member();

    /**
     * A member is new or has changed its state.
     *
     * @param member the member in its new state
     * @param previousState empty if the member is new
     */
    record StateChanged(Member member, Optional<MemberState> previousState)
            implements MembershipChange {
        /** Whether the member is new, became live or ceased to be live. */
        public boolean changesLiveness() {
            boolean isLive = member.state().isLive();
            return previousState.map(previous -> previous.isLive() != isLive).orElse(true);
        }
    }

    /** Another live process has this server's name or address. */
    record DuplicateName(Member member) implements MembershipChange {}

    /** This server has refuted an accusation that it does not answer. */
    record SuspicionRefuted(Member member) implements MembershipChange {}

    /** This server has received its first view, or has joined alone. */
    record Joined(Member member) implements MembershipChange {}

    /** A departed member was removed from the view. */
    record Forgotten(Member member) implements MembershipChange {}
}
