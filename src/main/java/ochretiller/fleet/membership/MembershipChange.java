package ochretiller.fleet.membership;

import java.util.Optional;

/**
 * Something that happened to the view, for the operators and for parts of the server that use it.
 */
public sealed interface MembershipChange {
    /** The member that it is about; this server itself for some. */
    Member member();

    /**
     * A member is seen in another state.
     *
     * @param member as it is now
     * @param previousState empty if it was not known before
     */
    record StateChanged(Member member, Optional<MemberState> previousState)
            implements MembershipChange {
        /** Whether the member became live or ceased to be, or is new. */
        public boolean changesLiveness() {
            boolean isLive = member.state().isLive();
            return previousState.map(previous -> previous.isLive() != isLive).orElse(true);
        }
    }

    /** Another live process bears this server's name or uses its address. */
    record DuplicateName(Member member) implements MembershipChange {}

    /** This server was accused of not answering and has refuted it. */
    record SuspicionRefuted(Member member) implements MembershipChange {}

    /** This server has got its first view, or goes on alone. */
    record Joined(Member member) implements MembershipChange {}

    /** A departed member is no longer remembered. */
    record Forgotten(Member member) implements MembershipChange {}
}
