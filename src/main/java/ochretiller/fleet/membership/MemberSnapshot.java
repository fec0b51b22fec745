package ochretiller.fleet.membership;

import java.time.Duration;

/**
 * A member in a view.
 *
 * @param timeInState how long it has been in its state
 * @param isSelf whether it is the server whose view this is
 */
public record MemberSnapshot(Member member, Duration timeInState, boolean isSelf) {}
