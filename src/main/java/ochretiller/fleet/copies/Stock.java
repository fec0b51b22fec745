package ochretiller.fleet.copies;

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
import ochretiller.fleet.epochs.Layout;

/**
 * The entries that a keeper has, by range, with a mark of each and the exclusive or of all marks of
 * a range, so that equal copies are seen to be equal without a look at their entries. It knows what
 * has changed since the disk was told last.
 */
final class Stock {
    private static final LongHashFunction HASH = LongHashFunction.xx3();

    /** Between two looks through a range: a window may seem that much longer. */
    private static final Duration SWEEPS = Duration.ofSeconds(1);

    /** Tokens with two ends that wait to be told of. */
    private static final int MOST_TOLD = 20;

    private final TreeMap<Integer, Range> ranges = new TreeMap<>();
    private final Set<String> changed = new LinkedHashSet<>();
    private final List<String> conflicting = new ArrayList<>();
    private int size;
    private long bytes;
    private long conflicts;

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
    private record Kept(Entry entry, long number, long mark) {}

    /**
     * Equal where two have the same of a token; ends of windows are no part of it, as each has them
     * on its own clock.
     */
    private static long mark(String token, Entry entry) {
        StringBuilder text =
                new StringBuilder(256)
                        .append(token)
                        .append(entry.claims())
                        .append(entry.released());
        entry.outcomes()
                .forEach(
                        (id, outcome) ->
                                text.append(id)
                                        .append(outcome.succeeded())
                                        .append(outcome.body())
                                        .append(outcome.sum())
                                        .append(outcome.here()));
        return HASH.hashChars(text);
    }

    int size() {
        return size;
    }

    long bytes() {
        return bytes;
    }

    /** Tokens with two ends. */
    long conflicts() {
        return conflicts;
    }

    /**
     * Tokens that came to have two ends since this was asked last, as many as are told of at once.
     */
    List<String> conflicting() {
        List<String> all = List.copyOf(conflicting);
        conflicting.clear();
        return all;
    }

    Entry get(String token) {
        Range range = ranges.get(Layout.range(token));
        Kept kept = range == null ? null : range.entries.get(token);
        return kept == null ? Entry.NOTHING : kept.entry;
    }

    /** The number of a token's last change. */
    long number(String token) {
        Range range = ranges.get(Layout.range(token));
        Kept kept = range == null ? null : range.entries.get(token);
        return kept == null ? 0 : kept.number;
    }

    /** Whether that changed anything. */
    boolean put(String token, Entry entry, long number) {
        Range range = ranges.computeIfAbsent(Layout.range(token), ignored -> new Range());
        Kept old = range.entries.get(token);
        if (old != null && old.entry.equals(entry)) {
            return false;
        }
        Kept kept = new Kept(entry, number, mark(token, entry));
        range.entries.put(token, kept);
        range.digest ^= kept.mark ^ (old == null ? 0 : old.mark);
        bytes += entry.bytes() - (old == null ? 0 : old.entry.bytes());
        if (old == null) {
            size++;
        }
        if (entry.conflict() && (old == null || !old.entry.conflict())) {
            conflicts++;
            if (conflicting.size() < MOST_TOLD) {
                conflicting.add(token);
            }
        }
        if (entry.until().compareTo(range.earliest) < 0) {
            range.earliest = entry.until();
        }
        changed.add(token);
        return true;
    }

    /**
     * Forgets what is past its window; each range is looked through when there is something, and
     * seldom.
     */
    void sweep(Duration now) {
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
                                if (kept.entry.until().compareTo(now) > 0) {
                                    if (kept.entry.until().compareTo(range.earliest) < 0) {
                                        range.earliest = kept.entry.until();
                                    }
                                    return false;
                                }
                                range.digest ^= kept.mark;
                                bytes -= kept.entry.bytes();
                                size--;
                                changed.remove(each.getKey());
                                return true;
                            });
        }
        ranges.values().removeIf(range -> range.entries.isEmpty());
    }

    /** Tokens that have changed since this was asked last. */
    List<String> changes() {
        List<String> all = List.copyOf(changed);
        changed.clear();
        return all;
    }

    boolean hasChanges() {
        return !changed.isEmpty();
    }

    Map<String, Entry> all() {
        Map<String, Entry> all = new TreeMap<>();
        ranges.values()
                .forEach(
                        range ->
                                range.entries.forEach((token, kept) -> all.put(token, kept.entry)));
        return all;
    }

    int count(int range) {
        Range known = ranges.get(range);
        return known == null ? 0 : known.entries.size();
    }

    long digest(int range) {
        Range known = ranges.get(range);
        return known == null ? 0 : known.digest;
    }

    Sketch sketch(int range, int cells) {
        Sketch sketch = new Sketch(cells);
        Range known = ranges.get(range);
        if (known != null) {
            known.entries.values().forEach(kept -> sketch.add(kept.mark));
        }
        return sketch;
    }

    /** Tokens of a range with one of these marks, those whose windows end last first. */
    List<String> marked(int range, Set<Long> marks) {
        return newest(range, kept -> marks.contains(kept.mark));
    }

    long mark(String token) {
        Range range = ranges.get(Layout.range(token));
        Kept kept = range == null ? null : range.entries.get(token);
        return kept == null ? 0 : kept.mark;
    }

    /** Tokens of a range behind a place, those whose windows end last first. */
    List<String> newest(int range, Duration until, String after) {
        return newest(range, kept -> kept.entry.until().compareTo(until) <= 0).stream()
                .filter(
                        token ->
                                get(token).until().compareTo(until) < 0
                                        || token.compareTo(after) > 0)
                .toList();
    }

    private List<String> newest(int range, Predicate<Kept> which) {
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
                                (Map.Entry<String, Kept> each) -> each.getValue().entry.until())
                        .reversed()
                        .thenComparing(Map.Entry::getKey));
        return found.stream().map(Map.Entry::getKey).toList();
    }

    List<Keeper.Listed> list(int range, int most) {
        Range known = ranges.get(range);
        if (known == null) {
            return List.of();
        }
        return known.entries.entrySet().stream()
                .limit(most)
                .map(
                        each ->
                                new Keeper.Listed(
                                        each.getKey(),
                                        each.getValue().mark,
                                        each.getValue().entry.how()))
                .toList();
    }

    /** Tokens of a range behind this one, by their names. */
    Iterable<String> after(int range, String token) {
        Range known = ranges.get(range);
        return known == null ? List.of() : known.entries.tailMap(token, false).keySet();
    }
}
