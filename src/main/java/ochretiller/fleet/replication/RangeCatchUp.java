package ochretiller.fleet.replication;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * The catch-up of a range, which a replica has to pull completely from enough sources before its
 * votes on the range count.
 */
final class RangeCatchUp {
    private final List<String> sources;
    private final int requiredSources;
    private final boolean mayHaveLostGrants;
    private final Duration startedAt;
    private final Duration deadline;
    private final Set<String> completeSources = new HashSet<>();

    /**
     * @param sources replicas that may have missing entries, possibly including this server
     * @param requiredSources number of sources that have to be pulled completely
     * @param mayHaveLostGrants whether this server was a replica of the range and may have lost
     *     claims that it granted
     * @param deadline monotonic time at which all missing entries have expired
     */
    RangeCatchUp(
            List<String> sources,
            int requiredSources,
            boolean mayHaveLostGrants,
            Duration startedAt,
            Duration deadline) {
        this.sources = sources;
        this.requiredSources = requiredSources;
        this.mayHaveLostGrants = mayHaveLostGrants;
        this.startedAt = startedAt;
        this.deadline = deadline;
    }

    List<String> sources() {
        return sources;
    }

    boolean mayHaveLostGrants() {
        return mayHaveLostGrants;
    }

    Duration lag(Duration now) {
        return now.minus(startedAt);
    }

    boolean isOverdue(Duration now) {
        return now.compareTo(deadline) >= 0;
    }

    /** Records that all entries of this source have been received. */
    void addCompleteSource(String source) {
        completeSources.add(source);
    }

    boolean isSourceComplete(String source) {
        return completeSources.contains(source);
    }

    boolean isComplete() {
        return completeSources.size() >= requiredSources;
    }

    Set<String> completeSources() {
        return completeSources;
    }
}
