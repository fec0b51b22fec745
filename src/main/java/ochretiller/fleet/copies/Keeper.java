package ochretiller.fleet.copies;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.random.RandomGenerator;
import net.openhft.hashing.LongHashFunction;
import ochretiller.fleet.epochs.Layout;

/**
 * What one server keeps for all. It answers for its present epoch only, first come first granted, and has each word on disk before
 * it leaves. A range whose keepers have changed, or whose disk was lost, has to be whole before it counts: fetched from as many of
 * those that kept it before as any majority must have met. A keeper that was merely away needs nothing: it knows what it granted.
 */
public final class Keeper {
    /** Entries in a page: it fits a datagram of some kilobytes with short results. */
    static final int PAGE = 32;
    private static final LongHashFunction HASH = LongHashFunction.xx3();
    /** Pages that are asked for in a tick: a whole fleet that comes back must not flood those that have what it lacks. */
    private static final int FETCHES = 6;
    /** A fetch that is not answered is said again. */
    private static final Duration AGAIN = Duration.ofMillis(300);

    private final String name;
    private final int most;
    private final Duration longest;
    private final TreeMap<Integer, TreeMap<String, Entry>> ranges = new TreeMap<>();
    private final Map<Integer, Catch> catching = new HashMap<>();
    private Layout layout;
    /** Ranges that it kept in the epoch before and did not have whole then: it is no source for them. */
    private final Set<Integer> lost = new HashSet<>();
    private int size;
    private long conflicts;
    private final List<Out> outs = new ArrayList<>();

    /** A message to a server by its name. */
    public record Out(String to, CopyMessage message) {
    }

    /** A range that is not whole yet. */
    private static final class Catch {
        final List<String> sources;
        final int needed;
        final Set<String> whole = new HashSet<>();
        final Map<String, String> after = new HashMap<>();
        final Map<String, Duration> asked = new HashMap<>();
        final Duration until;

        Catch(List<String> sources, int needed, Duration until) {
            this.sources = sources;
            this.needed = needed;
            this.until = until;
        }
    }

    /** A keeper's disk: what it was in and what it had. */
    public record Disk(Layout layout, Map<String, Entry> entries, Set<Integer> behind, Set<Integer> lost) {
    }

    /**
     * @param disk    what was on its disk, or null where that is lost or older than what it was seen to have
     * @param layout  the epoch that it knows of, where the disk is lost
     * @param most    entries that it keeps
     * @param longest the longest window: behind it nothing that was forgotten can matter
     */
    public Keeper(String name, Disk disk, Layout layout, int most, Duration longest, Duration now) {
        this.name = name;
        this.most = most;
        this.longest = longest;
        if (disk != null) {
            this.layout = disk.layout;
            disk.entries.forEach(this::put);
            lost.addAll(disk.lost);
            disk.behind.forEach(range -> catchUp(range, false, now));
        } else {
            this.layout = layout;
            // Whatever it may have granted, the others of each range have to be heard, all but itself: with them any majority is met.
            for (int range = 0; range < Layout.RANGES; range++) {
                if (layout.formerKeepers(range).contains(name)) lost.add(range);
                List<String> others = new ArrayList<>(layout.keepers(range));
                if (others.remove(name) && !others.isEmpty()) catching.put(range, new Catch(others, others.size(), now.plus(longest)));
            }
        }
    }

    /** What has to be on disk before {@link #outs} leave. */
    public Disk disk() {
        Map<String, Entry> all = new TreeMap<>();
        ranges.values().forEach(all::putAll);
        return new Disk(layout, all, Set.copyOf(catching.keySet()), Set.copyOf(lost));
    }

    public List<Out> outs() {
        List<Out> all = List.copyOf(outs);
        outs.clear();
        return all;
    }

    public Layout layout() {
        return layout;
    }

    /** Ranges that it keeps and does not have whole. */
    public int behind() {
        return catching.size();
    }

    public int size() {
        return size;
    }

    /** Tokens with two ends. */
    public long conflicts() {
        return conflicts;
    }

    Entry entry(String token) {
        Map<String, Entry> range = ranges.get(Layout.range(token));
        return range == null ? Entry.NOTHING : range.getOrDefault(token, Entry.NOTHING);
    }

    private void put(String token, Entry entry) {
        Entry old = ranges.computeIfAbsent(Layout.range(token), ignored -> new TreeMap<>()).put(token, entry);
        if (old == null) size++;
        if (entry.conflict() && (old == null || !old.conflict())) conflicts++;
    }

    /** A later epoch is agreed on: from here on it answers for no older one. */
    public void become(Layout next, Duration now) {
        if (next.epoch() <= layout.epoch()) return;
        boolean following = next.epoch() == layout.epoch() + 1;
        layout = next;
        lost.clear();
        for (int range = 0; range < Layout.RANGES; range++) {
            List<String> mine = next.keepers(range);
            List<String> old = next.formerKeepers(range);
            boolean had = old.contains(name) && following && !catching.containsKey(range);
            if (old.contains(name) && !had) lost.add(range);
            if (!mine.contains(name)) {
                catching.remove(range);
            } else if (!old.isEmpty() && !(following && Set.copyOf(old).equals(Set.copyOf(mine)))) {
                // Who has not heard of epochs between is as one that never kept the range.
                catchUp(range, had, now);
            }
        }
    }

    private void catchUp(int range, boolean had, Duration now) {
        List<String> old = layout.formerKeepers(range);
        Catch fresh = new Catch(old, Layout.majority(old.size()), now.plus(longest));
        if (had) fresh.whole.add(name);
        if (fresh.whole.size() >= fresh.needed) catching.remove(range);
        else catching.put(range, fresh);
    }

    /** Whether others may count on it for all that it had of a range, in this epoch or the one before. */
    private boolean source(int range) {
        if (lost.contains(range)) return false;
        Catch each = catching.get(range);
        if (each != null) return each.whole.contains(name);
        return layout.keepers(range).contains(name) || layout.formerKeepers(range).contains(name);
    }

    /** Fetches what is missing, in its turn; forgets what is past its window. */
    public void tick(Duration now) {
        List<Integer> done = new ArrayList<>();
        int[] asks = {FETCHES};
        catching.forEach((range, each) -> {
            // Behind the longest window nothing that is missing can matter any more.
            if (now.compareTo(each.until) >= 0) done.add(range);
            for (String source : each.sources) {
                if (source.equals(name) || each.whole.contains(source) || asks[0] == 0) continue;
                Duration asked = each.asked.get(source);
                if (asked != null && now.minus(asked).compareTo(AGAIN) < 0) continue;
                asks[0]--;
                each.asked.put(source, now);
                outs.add(new Out(source, new CopyMessage.Fetch(layout.epoch(), range, each.after.getOrDefault(source, ""), layout)));
            }
        });
        done.forEach(catching::remove);
        for (Map<String, Entry> range : ranges.values()) {
            int had = range.size();
            range.values().removeIf(entry -> entry.until().compareTo(now) <= 0);
            size -= had - range.size();
        }
    }

    public void received(String from, CopyMessage message, Duration now) {
        if (message instanceof CopyMessage.Claim claim) claimed(from, claim, now);
        else if (message instanceof CopyMessage.Look look) looked(from, look);
        else if (message instanceof CopyMessage.Ended ended) ended(from, ended, now);
        else if (message instanceof CopyMessage.Release release) released(release, now);
        else if (message instanceof CopyMessage.Fetch fetch) fetched(from, fetch, now);
        else if (message instanceof CopyMessage.Page page) page(from, page, now);
        else if (message instanceof CopyMessage.Compare compare) compared(from, compare, now);
        else if (message instanceof CopyMessage.Repair repair) repair.items().forEach(item -> take(item, now));
    }

    private boolean keeps(String token) {
        return layout.keepers(Layout.range(token)).contains(name);
    }

    private void claimed(String from, CopyMessage.Claim claim, Duration now) {
        Entry entry = entry(claim.token());
        CopyMessage.Word word = word(entry, claim.token(), claim.id(), claim.epoch());
        if (word == CopyMessage.Word.FREE) {
            boolean room = entry.claims().containsKey(claim.id()) || !entry.full() && size < most;
            word = room ? CopyMessage.Word.GRANTED : CopyMessage.Word.FULL;
            if (room) put(claim.token(), entry.claimed(claim.id(), claim.body(), now.plus(claim.left())));
        }
        answer(from, entry, claim.token(), claim.id(), word);
    }

    private void looked(String from, CopyMessage.Look look) {
        Entry entry = entry(look.token());
        answer(from, entry, look.token(), look.id(), word(entry, look.token(), look.id(), look.epoch()));
    }

    private void answer(String to, Entry entry, String token, ClaimId id, CopyMessage.Word word) {
        outs.add(new Out(to, new CopyMessage.Answer(layout.epoch(), token, id, word, entry.other(id), entry.outcome())));
    }

    private CopyMessage.Word word(Entry entry, String token, ClaimId id, long epoch) {
        // An end is true whatever the epoch; all else is answered for the present one only.
        if (entry.outcome().isPresent()) return CopyMessage.Word.DONE;
        if (epoch < layout.epoch()) return CopyMessage.Word.STALE;
        if (epoch > layout.epoch() || !keeps(token) || catching.containsKey(Layout.range(token))) return CopyMessage.Word.BEHIND;
        if (entry.released().contains(id)) return CopyMessage.Word.RELEASED;
        return entry.other(id).isPresent() ? CopyMessage.Word.HELD : CopyMessage.Word.FREE;
    }

    private void ended(String from, CopyMessage.Ended ended, Duration now) {
        put(ended.token(), entry(ended.token()).ended(ended.id(), ended.outcome(), now.plus(ended.left())));
        if (ended.epoch() == layout.epoch() && keeps(ended.token()) && !catching.containsKey(Layout.range(ended.token()))) {
            outs.add(new Out(from, new CopyMessage.Kept(layout.epoch(), ended.token(), ended.id())));
        }
    }

    private void released(CopyMessage.Release release, Duration now) {
        Entry entry = entry(release.token());
        if (entry.released().size() >= Entry.MOST || entry == Entry.NOTHING && size >= most) return;
        // Where nothing is known of it the claim may still come, late: then it finds itself released.
        put(release.token(), entry.release(release.id(), now.plus(release.left())));
    }

    private void fetched(String from, CopyMessage.Fetch fetch, Duration now) {
        become(fetch.layout(), now);
        if (fetch.epoch() != layout.epoch()) return;
        List<CopyMessage.Item> items = new ArrayList<>();
        boolean last = true;
        for (Map.Entry<String, Entry> each : ranges.getOrDefault(fetch.range(), new TreeMap<>()).tailMap(fetch.after(), false).entrySet()) {
            if (items.size() == PAGE) {
                last = false;
                break;
            }
            if (each.getValue().until().compareTo(now) > 0) items.add(new CopyMessage.Item(each.getKey(), each.getValue(), each.getValue().until().minus(now)));
        }
        outs.add(new Out(from, new CopyMessage.Page(layout.epoch(), fetch.range(), fetch.after(), items, last, source(fetch.range()))));
    }

    private void page(String from, CopyMessage.Page page, Duration now) {
        Catch each = catching.get(page.range());
        if (each == null || page.epoch() != layout.epoch() || !each.sources.contains(from)) return;
        if (!page.after().equals(each.after.getOrDefault(from, ""))) return; // an answer to a question that was said twice
        page.items().forEach(item -> take(item, now));
        if (!page.items().isEmpty()) each.after.put(from, page.items().get(page.items().size() - 1).token());
        each.asked.remove(from);
        if (!page.last() || !page.whole()) return;
        each.whole.add(from);
        if (each.whole.size() >= each.needed) catching.remove(page.range());
    }

    /** A copy that was under way for as long as its window brings nothing back to life. */
    private void take(CopyMessage.Item item, Duration now) {
        if (item.left().isNegative() || item.left().isZero()) return;
        if (entry(item.token()) == Entry.NOTHING && size >= most) return;
        Entry told = new Entry(item.entry().claims(), item.entry().released(), item.entry().outcomes(), now.plus(item.left()));
        put(item.token(), entry(item.token()).join(told));
    }

    /** Compares one of its ranges with another keeper of it: all the time, at a rate that does not depend on what differs. */
    public void compare(RandomGenerator chance) {
        int range = chance.nextInt(Layout.RANGES);
        List<String> others = new ArrayList<>(layout.keepers(range));
        if (!others.remove(name) || others.isEmpty()) return;
        outs.add(new Out(others.get(chance.nextInt(others.size())), new CopyMessage.Compare(layout.epoch(), range, digest(range))));
    }

    /** Equal where two have the same of a range; ends of windows are no part of it, as each has them on its own clock. */
    private long digest(int range) {
        long digest = 0;
        for (Map.Entry<String, Entry> each : ranges.getOrDefault(range, new TreeMap<>()).entrySet()) {
            Entry entry = each.getValue();
            digest ^= HASH.hashChars(each.getKey() + entry.claims() + entry.released() + entry.outcomes());
        }
        return digest;
    }

    private void compared(String from, CopyMessage.Compare compare, Duration now) {
        if (compare.epoch() != layout.epoch() || digest(compare.range()) == compare.digest()) return;
        List<CopyMessage.Item> items = new ArrayList<>();
        for (Map.Entry<String, Entry> each : ranges.getOrDefault(compare.range(), new TreeMap<>()).entrySet()) {
            if (items.size() == PAGE) break;
            if (each.getValue().until().compareTo(now) > 0) items.add(new CopyMessage.Item(each.getKey(), each.getValue(), each.getValue().until().minus(now)));
        }
        outs.add(new Out(from, new CopyMessage.Repair(compare.range(), items)));
    }

    /** All that decides what it does next, as text; times are told from now on. */
    public String state(Duration now) {
        StringBuilder text = new StringBuilder().append(layout.epoch()).append(lost);
        ranges.values().forEach(range -> range.forEach((token, entry) -> text.append(token).append(entry.claims()).append(entry.released())
            .append(entry.outcomes()).append(entry.until().minus(now))));
        catching.forEach((range, each) -> text.append('c').append(range).append(each.whole).append(each.after).append(each.asked.keySet()));
        return text.toString();
    }
}
