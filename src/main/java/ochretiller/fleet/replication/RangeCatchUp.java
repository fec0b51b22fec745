package ochretiller.fleet.replication;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * A range that a replica has to fetch before its votes on it count: from whom, and from how many of
 * them.
 */
final class RangeCatchUp {
    private final List<String> sources;
    private final int requiredSources;
    private final boolean mayHaveForgotten;
    private final Duration startedAt;
    private final Duration deadline;
    private final Set<String> completeSources = new HashSet<>();

    /**
     * @param sources replicas that may have what is lacking, perhaps this server itself
     * @param requiredSources how many of them have to be heard completely
     * @param mayHaveForgotten whether this server was a replica of the range and may have forgotten
     *     claims it granted
     * @param deadline when nothing that is still lacking can matter any more
     */
    RangeCatchUp(
            List<String> sources,
            int requiredSources,
            boolean mayHaveForgotten,
            Duration startedAt,
            Duration deadline) {
        this.sources = sources;
        this.requiredSources = requiredSources;
        this.mayHaveForgotten = mayHaveForgotten;
        this.startedAt = startedAt;
        this.deadline = deadline;
    }

    List<String> sources() {
        return sources;
    }

    boolean mayHaveForgotten() {
        return mayHaveForgotten;
    }

    Duration lag(Duration now) {
        return now.minus(startedAt);
    }

    boolean isOverdue(Duration now) {
        return now.compareTo(deadline) >= 0;
    }

    /** Records that everything of this source is here. */
    void addCompleteSource(String source) {
        completeSources.add(source);
    }

    boolean hasHeard(String source) {
        return completeSources.contains(source);
    }

    boolean isComplete() {
        return completeSources.size() >= requiredSources;
    }

    Set<String> completeSources() {
        return completeSources;
    }
}
