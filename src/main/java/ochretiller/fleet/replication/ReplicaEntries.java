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
 * The entries of a replica, by range. Each entry has a digest, and each range the XOR of its
 * entries' digests, so that equal copies of a range are detected without comparing entries. Tracks
 * entries that have changed since the last call of {@link #takeChangedTokens}. Not thread-safe;
 * callers pass the time.
 */
final class ReplicaEntries {
    private static final LongHashFunction HASH = LongHashFunction.xx3();

    /** Minimum time between two expiry scans of a range; delays the removal of entries. */
    private static final Duration EXPIRY_INTERVAL = Duration.ofSeconds(1);

    /** Maximum number of conflicting tokens to report; further ones are only counted. */
    private static final int MAX_REPORTED_CONFLICTS = 20;

    private final TreeMap<Integer, Range> ranges = new TreeMap<>();
    private final Set<String> changedTokens = new LinkedHashSet<>();
    private final List<String> conflictingTokens = new ArrayList<>();
    private int size;
    private long estimatedBytes;
    private long conflictCount;

    /**
     * @param changeNumber number of the replica's change that wrote the entry
     */
    private record StoredEntry(ReplicaEntry entry, long changeNumber, long digest) {
        static final StoredEntry ABSENT = new StoredEntry(ReplicaEntry.EMPTY, 0, 0);
    }

    private static final class Range {
        private static final Duration NEVER = Duration.ofSeconds(Long.MAX_VALUE);

        private final TreeMap<String, StoredEntry> entries = new TreeMap<>();
        private long digest;

        /** Lower bound on the expiry of all entries. */
        private Duration earliestExpiry = NEVER;

        private Duration nextScan = Duration.ofSeconds(Long.MIN_VALUE);

        boolean isScanDue(Duration now) {
            return earliestExpiry.compareTo(now) <= 0 && now.compareTo(nextScan) >= 0;
        }

        void lowerEarliestExpiry(Duration expiry) {
            if (expiry.compareTo(earliestExpiry) < 0) {
                earliestExpiry = expiry;
            }
        }
    }

    /**
     * Returns the digest of an entry; equal on replicas with equal entries. Excludes the expiry,
     * which each replica stores on its own clock. Peers compare digests, so the hashed text must
     * not change.
     */
    private static long digest(String token, ReplicaEntry entry) {
        StringBuilder text = new StringBuilder(256);
        text.append(token).append(entry.claims()).append(entry.releasedClaims());
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

    /** Returns how many tokens were found to have conflicting outcomes. */
    long conflictCount() {
        return conflictCount;
    }

    /**
     * Returns tokens whose outcomes were found to conflict since the last call; only some if there
     * are many.
     */
    List<String> takeConflictingTokens() {
        List<String> taken = List.copyOf(conflictingTokens);
        conflictingTokens.clear();
        return taken;
    }

    /** Returns the entry of a token; {@link ReplicaEntry#EMPTY} if there is none. */
    ReplicaEntry get(String token) {
        return storedEntry(token).entry;
    }

    /** Returns the number of a token's last change; 0 if there is no entry. */
    long changeNumber(String token) {
        return storedEntry(token).changeNumber;
    }

    /** Returns the digest of a token's entry; 0 if there is none. */
    long entryDigest(String token) {
        return storedEntry(token).digest;
    }

    private StoredEntry storedEntry(String token) {
        Range range = ranges.get(ReplicaPlacement.rangeOf(token));
        return range == null
                ? StoredEntry.ABSENT
                : range.entries.getOrDefault(token, StoredEntry.ABSENT);
    }

    /** Stores an entry; returns whether it differs from the previous one. */
    boolean put(String token, ReplicaEntry entry, long changeNumber) {
        Range range =
                ranges.computeIfAbsent(ReplicaPlacement.rangeOf(token), ignored -> new Range());
        StoredEntry previous = range.entries.get(token);
        if (previous != null && previous.entry.equals(entry)) {
            return false;
        }
        StoredEntry stored = new StoredEntry(entry, changeNumber, digest(token, entry));
        range.entries.put(token, stored);
        range.digest ^= stored.digest;
        estimatedBytes += entry.estimatedBytes();
        if (previous == null) {
            size++;
        } else {
            range.digest ^= previous.digest;
            estimatedBytes -= previous.entry.estimatedBytes();
        }
        if (entry.hasConflict() && (previous == null || !previous.entry.hasConflict())) {
            recordConflict(token);
        }
        range.lowerEarliestExpiry(entry.expiresAt());
        changedTokens.add(token);
        return true;
    }

    private void recordConflict(String token) {
        conflictCount++;
        if (conflictingTokens.size() < MAX_REPORTED_CONFLICTS) {
            conflictingTokens.add(token);
        }
    }

    /** Removes expired entries; scans a range only if one may have expired, and at intervals. */
    void removeExpired(Duration now) {
        for (Range range : ranges.values()) {
            if (range.isScanDue(now)) {
                removeExpired(range, now);
            }
        }
        ranges.values().removeIf(range -> range.entries.isEmpty());
    }

    private void removeExpired(Range range, Duration now) {
        range.nextScan = now.plus(EXPIRY_INTERVAL);
        range.earliestExpiry = Range.NEVER;
        range.entries
                .entrySet()
                .removeIf(
                        each -> {
                            StoredEntry stored = each.getValue();
                            if (stored.entry.expiresAt().compareTo(now) > 0) {
                                range.lowerEarliestExpiry(stored.entry.expiresAt());
                                return false;
                            }
                            range.digest ^= stored.digest;
                            estimatedBytes -= stored.entry.estimatedBytes();
                            size--;
                            changedTokens.remove(each.getKey());
                            return true;
                        });
    }

    /** Returns tokens whose entries have changed since the last call. */
    List<String> takeChangedTokens() {
        List<String> taken = List.copyOf(changedTokens);
        changedTokens.clear();
        return taken;
    }

    /** Returns a copy of all entries, by token. */
    Map<String, ReplicaEntry> all() {
        Map<String, ReplicaEntry> all = new TreeMap<>();
        ranges.values()
                .forEach(
                        range ->
                                range.entries.forEach(
                                        (token, stored) -> all.put(token, stored.entry)));
        return all;
    }

    private Map<String, StoredEntry> entriesOf(int range) {
        Range existing = ranges.get(range);
        return existing == null ? Map.of() : existing.entries;
    }

    int entryCount(int range) {
        return entriesOf(range).size();
    }

    long rangeDigest(int range) {
        Range existing = ranges.get(range);
        return existing == null ? 0 : existing.digest;
    }

    /** Returns a sketch of the digests of a range's entries. */
    SetSketch sketch(int range, int cells) {
        SetSketch sketch = new SetSketch(cells);
        entriesOf(range).values().forEach(stored -> sketch.add(stored.digest));
        return sketch;
    }

    /**
     * Returns the tokens of a range whose entries have one of these digests, latest expiry first.
     */
    List<String> tokensWithDigests(int range, Set<Long> digests) {
        return tokensByExpiry(range, stored -> digests.contains(stored.digest));
    }

    /** Returns the tokens of a range that follow this expiry and token, latest expiry first. */
    List<String> tokensByExpiry(int range, Duration expiry, String afterToken) {
        return tokensByExpiry(range, stored -> stored.entry.expiresAt().compareTo(expiry) <= 0)
                .stream()
                .filter(
                        token ->
                                get(token).expiresAt().compareTo(expiry) < 0
                                        || token.compareTo(afterToken) > 0)
                .toList();
    }

    private List<String> tokensByExpiry(int range, Predicate<StoredEntry> filter) {
        Comparator<Map.Entry<String, StoredEntry>> latestFirst =
                Comparator.comparing(
                                (Map.Entry<String, StoredEntry> each) ->
                                        each.getValue().entry.expiresAt())
                        .reversed();
        return entriesOf(range).entrySet().stream()
                .filter(each -> filter.test(each.getValue()))
                .sorted(latestFirst.thenComparing(Map.Entry::getKey))
                .map(Map.Entry::getKey)
                .toList();
    }

    /** Returns the tokens of a range that follow this one, in token order. */
    Iterable<String> tokensAfter(int range, String token) {
        Range existing = ranges.get(range);
        return existing == null ? List.of() : existing.entries.tailMap(token, false).keySet();
    }

    /** Returns up to {@code limit} tokens of a range for the administrator's listing. */
    List<TokenSummary> summarize(int range, int limit) {
        return entriesOf(range).entrySet().stream()
                .limit(limit)
                .map(
                        each ->
                                new TokenSummary(
                                        each.getKey(),
                                        each.getValue().digest,
                                        each.getValue().entry.status()))
                .toList();
    }
}
