package ochretiller.fleet.membership;

import java.time.Duration;

/**
 * A member in one server's view at one moment.
 *
 * @param timeInState how long it has been in its state, excluding pauses of this server
 * @param isSelf whether the member is the server that owns the view
 */
public record MemberSnapshot(Member member, Duration timeInState, boolean isSelf) {}
