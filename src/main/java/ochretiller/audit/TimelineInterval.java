package ochretiller.audit;

/**
 * A stretch of one server's time with one status. Immutable.
 *
 * @param startMillis its start, Unix milliseconds
 * @param endMillis its end, Unix milliseconds
 * @param version the version in force, 0 where nothing is known
 * @param text a remark for people, empty where there is none
 */
public record TimelineInterval(
        String server,
        long startMillis,
        long endMillis,
        VersionStatus status,
        long version,
        String text) {}
