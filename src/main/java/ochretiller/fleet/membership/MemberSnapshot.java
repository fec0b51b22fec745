package ochretiller.fleet.membership;

import java.time.Duration;

/**
 * A member as one server sees it at one moment.
 *
 * @param timeInState how long it has been in its state, pauses of this server left out
 * @param isSelf whether it is the server whose view this is
 */
public record MemberSnapshot(Member member, Duration timeInState, boolean isSelf) {}
