package ochretiller.audit;

/**
 * An interval during which a server had one status. Immutable.
 *
 * @param startMillis start, Unix milliseconds
 * @param endMillis end, Unix milliseconds
 * @param version number of the active version, 0 if unknown
 * @param text remark for operators, empty if there is none
 */
public record TimelineInterval(
        String server,
        long startMillis,
        long endMillis,
        VersionStatus status,
        long version,
        String text) {}
