package ochretiller.fleet.members;

import java.time.Duration;

/**
 * A member in a view.
 *
 * @param age how long it has been in its state
 * @param self whether it is the server whose view this is
 */
public record Seen(Member member, Duration age, boolean self) {}
