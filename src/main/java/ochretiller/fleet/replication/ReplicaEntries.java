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
 * The entries of a replica, by range. Each entry has a digest, and each range the exclusive or of
 * its entries' digests, so that equal copies of a range are recognised without a look at the
 * entries. Knows which entries have changed since the storage was told last. Not thread-safe; time
 * is handed in.
 */
final class ReplicaEntries {
    private static final LongHashFunction HASH = LongHashFunction.xx3();

    /** Least time between two expiry scans of a range: a window may seem that much longer. */
    private static final Duration EXPIRY_INTERVAL = Duration.ofSeconds(1);

    /** Tokens with conflicting outcomes that wait to be reported; further ones are only counted. */
    private static final int MAX_REPORTED_CONFLICTS = 20;

    private final TreeMap<Integer, Range> ranges = new TreeMap<>();
    private final Set<String> changedTokens = new LinkedHashSet<>();
    private final List<String> conflictingTokens = new ArrayList<>();
    private int size;
    private long estimatedBytes;
    private long conflictCount;

    /**
     * @param changeNumber the replica's change by which the entry came to be
     */
    private record StoredEntry(ReplicaEntry entry, long changeNumber, long digest) {
        static final StoredEntry ABSENT = new StoredEntry(ReplicaEntry.EMPTY, 0, 0);
    }

    private static final class Range {
        private static final Duration NEVER = Duration.ofSeconds(Long.MAX_VALUE);

        private final TreeMap<String, StoredEntry> entries = new TreeMap<>();
        private long digest;

        /** No entry expires before. */
        private Duration earliestExpiry = NEVER;

        private Duration nextScan = Duration.ofSeconds(Long.MIN_VALUE);

        boolean isScanDue(Duration now) {
            return earliestExpiry.compareTo(now) <= 0 && now.compareTo(nextScan) >= 0;
        }

        void noteExpiry(Duration expiry) {
            if (expiry.compareTo(earliestExpiry) < 0) {
                earliestExpiry = expiry;
            }
        }
    }

    /**
     * The digest of an entry, equal where two replicas hold the same. Expiries are left out, as
     * each replica has them on its own clock. Peers compare these digests, so the text that is
     * hashed is fixed.
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

    /** Returns how many tokens came to have conflicting outcomes. */
    long conflictCount() {
        return conflictCount;
    }

    /**
     * Returns tokens that came to have conflicting outcomes since the last call; some of them where
     * there are many.
     */
    List<String> takeConflictingTokens() {
        List<String> taken = List.copyOf(conflictingTokens);
        conflictingTokens.clear();
        return taken;
    }

    /** Returns the entry of a token, {@link ReplicaEntry#EMPTY} where there is none. */
    ReplicaEntry get(String token) {
        return stored(token).entry;
    }

    /** Returns the number of a token's last change, 0 where there is no entry. */
    long changeNumber(String token) {
        return stored(token).changeNumber;
    }

    /** Returns the digest of a token's entry, 0 where there is none. */
    long entryDigest(String token) {
        return stored(token).digest;
    }

    private StoredEntry stored(String token) {
        Range range = ranges.get(ReplicaPlacement.rangeOf(token));
        return range == null
                ? StoredEntry.ABSENT
                : range.entries.getOrDefault(token, StoredEntry.ABSENT);
    }

    /** Stores an entry, and returns whether it differs from the one before. */
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
        range.noteExpiry(entry.expiresAt());
        changedTokens.add(token);
        return true;
    }

    private void recordConflict(String token) {
        conflictCount++;
        if (conflictingTokens.size() < MAX_REPORTED_CONFLICTS) {
            conflictingTokens.add(token);
        }
    }

    /**
     * Removes entries whose windows have ended; scans a range only when one may have, and seldom.
     */
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
                                range.noteExpiry(stored.entry.expiresAt());
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
        Range known = ranges.get(range);
        return known == null ? Map.of() : known.entries;
    }

    int entryCount(int range) {
        return entriesOf(range).size();
    }

    long rangeDigest(int range) {
        Range known = ranges.get(range);
        return known == null ? 0 : known.digest;
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

    /** Returns the tokens of a range from this expiry and token on, latest expiry first. */
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

    /** Returns the tokens of a range behind this one, in their own order. */
    Iterable<String> tokensAfter(int range, String token) {
        Range known = ranges.get(range);
        return known == null ? List.of() : known.entries.tailMap(token, false).keySet();
    }

    /** Returns the first tokens of a range for the administrator's listing. */
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
