package ochretiller.fleet.membership;

/**
 * One process of one server. A server that is started again keeps its name and gets another
 * incarnation, so that what is said of the old process never meets the new one.
 *
 * @param name as configured
 * @param incarnation drawn at random when the process starts, and never 0: a clock that was set
 *     back could give an old number again. Not SWIM's incarnation number; see {@link
 *     Member#stateVersion}
 */
public record MemberId(String name, long incarnation) {
    /** For log lines. */
    @Override
    public String toString() {
        return name + '/' + Long.toHexString(incarnation);
    }
}
