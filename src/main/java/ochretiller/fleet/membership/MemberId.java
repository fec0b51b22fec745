package ochretiller.fleet.membership;

/**
 * Identifies one process of one server. A restarted server keeps its name but has a new
 * incarnation, so that updates of the old process never apply to the new one.
 *
 * @param name the configured name
 * @param incarnation a random number, never 0, drawn when the process starts; a timestamp could
 *     repeat after a clock is set back. Not SWIM's incarnation number; see {@link
 *     Member#stateVersion}
 */
public record MemberId(String name, long incarnation) {
    /** Name and hexadecimal incarnation, for log lines. */
    @Override
    public String toString() {
        return name + '/' + Long.toHexString(incarnation);
    }
}
