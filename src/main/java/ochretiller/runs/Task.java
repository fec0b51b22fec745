package ochretiller.runs;

import java.time.Duration;

/**
 * One run that is to be carried out.
 *
 * @param rid its name on all wires below
 * @param repeatable it may run a second time where it is not known whether it did
 * @param token the token of a tokened one, else null
 * @param due when its caller no longer waits, on the schedule
 */
public record Task(
        String rid,
        String operation,
        byte[] body,
        boolean repeatable,
        String token,
        Duration due) {}
