package ochretiller.fleet.membership;

/**
 * One start of one server. A server that is started again has its old name and another start, so
 * that what is said of the old process never meets the new one.
 *
 * @param incarnation drawn by chance at the start: a clock that was set back could give an old
 *     number again
 */
public record MemberId(String name, long incarnation) {
    @Override
    public String toString() {
        return name + '/' + Long.toHexString(incarnation);
    }
}
