package ochretiller.fleet.replication;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Predicate;
import net.openhft.hashing.LongHashFunction;
import ochretiller.fleet.consensus.ReplicaPlacement;

/**
 * The entries that a keeper has, by range, with a mark of each and the exclusive or of all marks of
 * a range, so that equal copies are seen to be equal without a look at their entries. It knows what
 * has changed since the disk was told last.
 */
final class ReplicaEntries {
    private static final LongHashFunction HASH = LongHashFunction.xx3();

    /** Between two looks through a range: a window may seem that much longer. */
    private static final Duration SWEEPS = Duration.ofSeconds(1);

    /** Tokens with two ends that wait to be told of. */
    private static final int MOST_TOLD = 20;

    private final TreeMap<Integer, Range> ranges = new TreeMap<>();
    private final Set<String> changed = new LinkedHashSet<>();
    private final List<String> takeConflictingTokens = new ArrayList<>();
    private int size;
    private long estimatedBytes;
    private long conflictCount;

    private static final class Range {
        final TreeMap<String, Kept> entries = new TreeMap<>();
        long digest;

        /** No window ends before, and when it was last looked through for those that have ended. */
        Duration earliest = Duration.ofSeconds(Long.MAX_VALUE);

        Duration swept;
    }

    /**
     * @param number how-manieth change of the keeper this is: what was told of it is remembered
     *     elsewhere
     */
    private record Kept(ReplicaEntry entry, long number, long mark) {}

    /**
     * Equal where two have the same of a token; ends of windows are no part of it, as each has them
     * on its own clock.
     */
    private static long entryDigest(String token, ReplicaEntry entry) {
        StringBuilder text =
                new StringBuilder(256)
                        .append(token)
                        .append(entry.claims())
                        .append(entry.releasedClaims());
        entry.outcomes()
                .forEach(
                        (id, outcome) ->
                                text.append(id)
                                        .append(outcome.succeeded())
                                        .append(outcome.fingerprint())
                                        .append(outcome.checksum())
                                        .append(outcome.resultPresent()));
        return HASH.hashChars(text);
    }

    int size() {
        return size;
    }

    long estimatedBytes() {
        return estimatedBytes;
    }

    /** Tokens with two ends. */
    long conflictCount() {
        return conflictCount;
    }

    /**
     * Tokens that came to have two ends since this was asked last, as many as are told of at once.
     */
    List<String> takeConflictingTokens() {
        List<String> all = List.copyOf(takeConflictingTokens);
        takeConflictingTokens.clear();
        return all;
    }

    ReplicaEntry get(String token) {
        Range range = ranges.get(ReplicaPlacement.rangeOf(token));
        Kept kept = range == null ? null : range.entries.get(token);
        return kept == null ? ReplicaEntry.EMPTY : kept.entry;
    }

    /** The number of a token's last change. */
    long changeNumber(String token) {
        Range range = ranges.get(ReplicaPlacement.rangeOf(token));
        Kept kept = range == null ? null : range.entries.get(token);
        return kept == null ? 0 : kept.number;
    }

    /** Whether that changed anything. */
    boolean put(String token, ReplicaEntry entry, long number) {
        Range range =
                ranges.computeIfAbsent(ReplicaPlacement.rangeOf(token), ignored -> new Range());
        Kept old = range.entries.get(token);
        if (old != null && old.entry.equals(entry)) {
            return false;
        }
        Kept kept = new Kept(entry, number, entryDigest(token, entry));
        range.entries.put(token, kept);
        range.digest ^= kept.mark ^ (old == null ? 0 : old.mark);
        estimatedBytes += entry.estimatedBytes() - (old == null ? 0 : old.entry.estimatedBytes());
        if (old == null) {
            size++;
        }
        if (entry.hasConflict() && (old == null || !old.entry.hasConflict())) {
            conflictCount++;
            if (takeConflictingTokens.size() < MOST_TOLD) {
                takeConflictingTokens.add(token);
            }
        }
        if (entry.expiresAt().compareTo(range.earliest) < 0) {
            range.earliest = entry.expiresAt();
        }
        changed.add(token);
        return true;
    }

    /**
     * Forgets what is past its window; each range is looked through when there is something, and
     * seldom.
     */
    void removeExpired(Duration now) {
        for (Range range : ranges.values()) {
            if (range.earliest.compareTo(now) > 0
                    || range.swept != null && now.minus(range.swept).compareTo(SWEEPS) < 0) {
                continue;
            }
            range.swept = now;
            range.earliest = Duration.ofSeconds(Long.MAX_VALUE);
            range.entries
                    .entrySet()
                    .removeIf(
                            each -> {
                                Kept kept = each.getValue();
                                if (kept.entry.expiresAt().compareTo(now) > 0) {
                                    if (kept.entry.expiresAt().compareTo(range.earliest) < 0) {
                                        range.earliest = kept.entry.expiresAt();
                                    }
                                    return false;
                                }
                                range.digest ^= kept.mark;
                                estimatedBytes -= kept.entry.estimatedBytes();
                                size--;
                                changed.remove(each.getKey());
                                return true;
                            });
        }
        ranges.values().removeIf(range -> range.entries.isEmpty());
    }

    /** Tokens that have changed since this was asked last. */
    List<String> takeChangedTokens() {
        List<String> all = List.copyOf(changed);
        changed.clear();
        return all;
    }

    boolean hasChanges() {
        return !changed.isEmpty();
    }

    Map<String, ReplicaEntry> all() {
        Map<String, ReplicaEntry> all = new TreeMap<>();
        ranges.values()
                .forEach(
                        range ->
                                range.entries.forEach((token, kept) -> all.put(token, kept.entry)));
        return all;
    }

    int entryCount(int range) {
        Range known = ranges.get(range);
        return known == null ? 0 : known.entries.size();
    }

    long rangeDigest(int range) {
        Range known = ranges.get(range);
        return known == null ? 0 : known.digest;
    }

    SetSketch sketch(int range, int cells) {
        SetSketch sketch = new SetSketch(cells);
        Range known = ranges.get(range);
        if (known != null) {
            known.entries.values().forEach(kept -> sketch.add(kept.mark));
        }
        return sketch;
    }

    /** Tokens of a range with one of these marks, those whose windows end last first. */
    List<String> tokensWithDigests(int range, Set<Long> marks) {
        return tokensByExpiry(range, kept -> marks.contains(kept.mark));
    }

    long entryDigest(String token) {
        Range range = ranges.get(ReplicaPlacement.rangeOf(token));
        Kept kept = range == null ? null : range.entries.get(token);
        return kept == null ? 0 : kept.mark;
    }

    /** Tokens of a range behind a place, those whose windows end last first. */
    List<String> tokensByExpiry(int range, Duration until, String after) {
        return tokensByExpiry(range, kept -> kept.entry.expiresAt().compareTo(until) <= 0).stream()
                .filter(
                        token ->
                                get(token).expiresAt().compareTo(until) < 0
                                        || token.compareTo(after) > 0)
                .toList();
    }

    private List<String> tokensByExpiry(int range, Predicate<Kept> which) {
        Range known = ranges.get(range);
        if (known == null) {
            return List.of();
        }
        List<Map.Entry<String, Kept>> found = new ArrayList<>();
        for (Map.Entry<String, Kept> each : known.entries.entrySet()) {
            if (which.test(each.getValue())) {
                found.add(each);
            }
        }
        found.sort(
                Comparator.comparing(
                                (Map.Entry<String, Kept> each) -> each.getValue().entry.expiresAt())
                        .reversed()
                        .thenComparing(Map.Entry::getKey));
        return found.stream().map(Map.Entry::getKey).toList();
    }

    List<Replica.TokenSummary> summarize(int range, int most) {
        Range known = ranges.get(range);
        if (known == null) {
            return List.of();
        }
        return known.entries.entrySet().stream()
                .limit(most)
                .map(
                        each ->
                                new Replica.TokenSummary(
                                        each.getKey(),
                                        each.getValue().mark,
                                        each.getValue().entry.status()))
                .toList();
    }

    /** Tokens of a range behind this one, by their names. */
    Iterable<String> tokensAfter(int range, String token) {
        Range known = ranges.get(range);
        return known == null ? List.of() : known.entries.tailMap(token, false).keySet();
    }
}
