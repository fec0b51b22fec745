package ochretiller.fleet.copies;

import java.time.Duration;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.random.RandomGenerator;
import ochretiller.fleet.epochs.Layout;

/**
 * What one server keeps for all. It answers for its present epoch only, first come first granted,
 * and has each word on disk before it leaves. A range whose keepers have changed, or whose disk was
 * lost, has to be whole before it counts: fetched from as many of those that kept it before as any
 * majority must have met. A keeper that was merely away needs nothing to count: it knows what it
 * granted, once the others have told it that they know of no later word of its own.
 */
public final class Keeper {
    /** Bytes of a page, which goes in one datagram. */
    static final int PAGE = 5 * 1024;

    /** Marks of what has no room in a page, which are told in it. */
    private static final int REST = 200;

    /** What is saved up of the allowance at most, bytes: some pages. */
    private static final double BURST = 256 * 1024;

    /**
     * A keeper that came back asks again after this; how long it waits for all, and for anybody.
     */
    private static final Duration ASKS = Duration.ofMillis(100);

    private static final Duration WAITS_FOR_ALL = Duration.ofMillis(1_500);
    private static final Duration WAITS_FOR_ANY = Duration.ofSeconds(5);

    /** Comparisons in a tick with one that was away. */
    private static final int HINTS = 4;

    /** Servers that were away whose ranges are remembered. */
    private static final int MOST_AWAY = 1_024;

    /** Part of the room that is left to ends of what was claimed. */
    private static final int RESERVE_PART = 8;

    private final String name;
    private final Bounds bounds;
    private final Stock stock = new Stock();
    private final Allowance sends;
    private final Pulls pulls;
    private final Pieces pieces = new Pieces();
    private Layout layout;

    /**
     * Ranges that it kept in the epoch before and did not have whole then: it is no source for
     * them.
     */
    private final Set<Integer> lost = new HashSet<>();

    private long number;
    private boolean changed;

    /** Not null while it has come back with a disk that may be older than its last word. */
    private Return returning;

    private final Map<String, BitSet> away = new TreeMap<>();
    private final Map<String, BitSet> hints = new TreeMap<>();
    private final List<Out> outs = new ArrayList<>();
    private final List<Pieces.Whole> wholes = new ArrayList<>();
    private long sentBytes;
    private long compares;
    private long differed;
    private long oldDisks;

    /** A message to a server by its name. */
    public record Out(String to, CopyMessage message) {}

    /**
     * What a keeper may take.
     *
     * @param most entries
     * @param mostBytes of them, as reckoned
     * @param perSecond bytes a second that go out for others' catching up, and as many that come in
     *     for its own
     * @param longest the longest window: behind it nothing that was forgotten can matter
     */
    public record Bounds(int most, long mostBytes, double perSecond, Duration longest) {}

    /** What it asks of the others behind a start with a disk. */
    private static final class Return {
        final Duration began;
        final long nonce;
        final Map<String, Long> told = new HashMap<>();
        Duration asked;

        Return(Duration began, long nonce) {
            this.began = began;
            this.nonce = nonce;
        }
    }

    /**
     * A keeper's disk: what it was in and what it had.
     *
     * @param behind ranges that it had not whole
     * @param forgot those among them that it kept, and may have forgotten what it granted in
     * @param lost ranges that it is no source for
     * @param number of its last change that is there
     * @param returns whether it may be older than what was said: the others are asked first
     */
    public record Disk(
            Layout layout,
            Map<String, Entry> entries,
            Set<Integer> behind,
            Set<Integer> forgot,
            Set<Integer> lost,
            long number,
            boolean returns) {
        /** One that is known to be as new as its last word, with nothing behind. */
        public Disk(Layout layout, Map<String, Entry> entries) {
            this(layout, entries, Set.of(), Set.of(), Set.of(), 0, false);
        }
    }

    public Keeper(String name, Disk disk, Layout layout, int most, Duration longest, Duration now) {
        this(name, disk, layout, new Bounds(most, Long.MAX_VALUE, 8 << 20, longest), 0, now);
    }

    /**
     * @param disk what was on its disk, or null where that is lost
     * @param layout the epoch that it knows of, where the disk is lost
     * @param first a number over all that it may have told before it lost its disk, or 0 where
     *     nobody asks
     */
    public Keeper(String name, Disk disk, Layout layout, Bounds bounds, long first, Duration now) {
        this.name = name;
        this.bounds = bounds;
        this.sends = new Allowance(bounds.perSecond, BURST, now);
        this.pulls = new Pulls(name, stock, new Allowance(bounds.perSecond, BURST, now));
        if (disk == null) {
            this.layout = layout;
            this.number = first;
            forgotten(now);
        } else {
            this.layout = disk.layout;
            this.number = disk.number;
            disk.entries.forEach((token, entry) -> stock.put(token, entry, 0));
            stock.changes(); // they are on the disk
            lost.addAll(disk.lost);
            for (int range : disk.behind) {
                if (disk.forgot.contains(range)) {
                    forgotten(range, now);
                } else {
                    catchUp(range, false, now);
                }
            }
            if (disk.returns) {
                returning = new Return(now, number);
            }
        }
    }

    private void forgotten(Duration now) {
        for (int range = 0; range < Layout.RANGES; range++) {
            forgotten(range, now);
        }
    }

    /**
     * Whatever it may have granted, the others of a range have to be heard, all but itself: with
     * them any majority is met.
     */
    private void forgotten(int range, Duration now) {
        changed = true;
        if (layout.formerKeepers(range).contains(name)) {
            lost.add(range);
        }
        List<String> others = new ArrayList<>(layout.keepers(range));
        if (others.remove(name) && !others.isEmpty()) {
            pulls.catchUp(range, others, others.size(), false, true, now, now.plus(bounds.longest));
        }
    }

    /** What has to be on disk, beside the entries that change, before {@link #outs} leave. */
    public Disk place() {
        return new Disk(
                layout,
                Map.of(),
                pulls.rangesBehind(),
                pulls.rangesForgotten(),
                Set.copyOf(lost),
                number,
                true);
    }

    /**
     * Tokens that have changed since this was asked last, and whether anything else has: those go
     * to disk before {@link #outs}.
     */
    public List<String> changes() {
        return stock.changes();
    }

    /** Whether epoch, ranges or number have changed since this was asked last. */
    public boolean moved() {
        boolean was = changed;
        changed = false;
        return was;
    }

    public List<Out> outs() {
        List<Out> all = List.copyOf(outs);
        outs.clear();
        return all;
    }

    /**
     * Long results that have come whole since this was asked last: once they are kept, {@link
     * #shelved} is to be said.
     */
    public List<Pieces.Whole> wholes() {
        List<Pieces.Whole> all = List.copyOf(wholes);
        wholes.clear();
        return all;
    }

    public Layout layout() {
        return layout;
    }

    /** Ranges that it keeps and does not have whole. */
    public int behind() {
        return pulls.behind();
    }

    /** Whether it waits to hear whether its disk is as new as its last word. */
    public boolean returning() {
        return returning != null;
    }

    public int size() {
        return stock.size();
    }

    public long bytes() {
        return stock.bytes();
    }

    /** Tokens with two ends. */
    public long conflicts() {
        return stock.conflicts();
    }

    /** The number of its last change. */
    public long number() {
        return number;
    }

    /** Ranges that have changed while a keeper of them was away, over all that are. */
    public int hints() {
        return hints.values().stream().mapToInt(BitSet::cardinality).sum()
                + away.values().stream().mapToInt(BitSet::cardinality).sum();
    }

    public Duration oldestGap(Duration now) {
        return pulls.oldest(now);
    }

    /** Bytes of entries fetched, and sent to others who fetched them. */
    public long fetchedBytes() {
        return pulls.bytes();
    }

    public long fetched() {
        return pulls.fetched();
    }

    public long sentBytes() {
        return sentBytes;
    }

    /** Comparisons with other keepers, and those that found a difference. */
    public long compares() {
        return compares;
    }

    public long differed() {
        return differed;
    }

    /** Times that its disk was found to be older than its word. */
    public long oldDisks() {
        return oldDisks;
    }

    /** What it has of a token; {@link Entry#NOTHING} where it has nothing. */
    public Entry entry(String token) {
        return stock.get(token);
    }

    /** Ranges of its own with what it has of each, for a comparison by hand. */
    public long digest(int range) {
        return stock.digest(range);
    }

    public int count(int range) {
        return stock.count(range);
    }

    public boolean isBehind(int range) {
        return pulls.behind(range);
    }

    /** One token as it is listed: a mark of what is known of it, and a word on how far it is. */
    public record Listed(String token, long mark, String how) {}

    public List<Listed> list(int range, int most) {
        return stock.list(range, most);
    }

    /** The number of the last change of a token. */
    public long number(String token) {
        return stock.number(token);
    }

    /**
     * What was kept before and may lack something: each of it is true, and none of it makes a range
     * whole.
     */
    public void remember(String token, Entry entry) {
        if (entry.until().compareTo(Duration.ZERO) > 0) {
            put(token, entry(token).join(entry));
        }
    }

    /** Tokens that came to have two ends since this was asked last, some of them. */
    public List<String> conflicting() {
        return stock.conflicting();
    }

    private void put(String token, Entry entry) {
        if (!stock.put(token, entry, number + 1)) {
            return;
        }
        number++;
        if (away.isEmpty()) {
            return;
        }
        int range = Layout.range(token);
        for (String keeper : layout.keepers(range)) {
            BitSet missed = away.get(keeper);
            if (missed != null) {
                missed.set(range);
            }
        }
    }

    /**
     * Who is there, as far as this server sees: what the others miss is remembered by range, and
     * compared once they are back.
     */
    public void there(Set<String> live) {
        for (Layout.Server each : layout.servers()) {
            String other = each.name();
            if (other.equals(name)) {
                continue;
            }
            if (!live.contains(other)) {
                if (away.size() < MOST_AWAY && !away.containsKey(other)) {
                    away.put(other, hints.getOrDefault(other, new BitSet()));
                }
                hints.remove(other);
            } else if (away.containsKey(other)) {
                BitSet missed = away.remove(other);
                if (!missed.isEmpty()) {
                    hints.put(other, missed);
                }
            }
        }
        away.keySet().removeIf(each -> !layout.has(each));
        hints.keySet().removeIf(each -> !layout.has(each));
    }

    /** A later epoch is agreed on: from here on it answers for no older one. */
    public void become(Layout next, Duration now) {
        if (next.epoch() <= layout.epoch()) {
            return;
        }
        boolean following = next.epoch() == layout.epoch() + 1;
        layout = next;
        changed = true;
        lost.clear();
        Set<Integer> whereBehind = pulls.rangesBehind();
        pulls.epoch();
        for (int range = 0; range < Layout.RANGES; range++) {
            List<String> mine = next.keepers(range);
            List<String> old = next.formerKeepers(range);
            // One that has yet to hear whether its disk is old may have forgotten what it granted.
            boolean had =
                    old.contains(name)
                            && following
                            && !whereBehind.contains(range)
                            && returning == null;
            if (old.contains(name) && !had) {
                lost.add(range);
            }
            if (!mine.contains(name)) {
                pulls.whole(range);
            } else if (!old.isEmpty() && !(following && Set.copyOf(old).equals(Set.copyOf(mine)))) {
                // Who has not heard of epochs between is as one that never kept the range.
                catchUp(range, had, now);
            }
        }
    }

    private void catchUp(int range, boolean had, Duration now) {
        List<String> old = layout.formerKeepers(range);
        pulls.catchUp(
                range, old, Layout.majority(old.size()), had, false, now, now.plus(bounds.longest));
        changed = true;
    }

    /**
     * Whether others may count on it for all that it had of a range, in this epoch or the one
     * before.
     */
    private boolean source(int range) {
        if (lost.contains(range) || returning != null) {
            return false;
        }
        Boolean own = pulls.ownCounts(range);
        if (own != null) {
            return own;
        }
        return layout.keepers(range).contains(name) || layout.formerKeepers(range).contains(name);
    }

    /** Fetches what is missing, in its turn; forgets what is past its window. */
    public void tick(Duration now) {
        if (returning != null) {
            cameBack(now);
        }
        int before = pulls.behind();
        outs.addAll(pulls.tick(layout, now));
        if (pulls.behind() != before) {
            changed = true;
        }
        outs.addAll(pieces.tick(now));
        hinted();
        stock.sweep(now);
    }

    private void hinted() {
        int left = HINTS;
        for (Map.Entry<String, BitSet> each : hints.entrySet()) {
            BitSet missed = each.getValue();
            for (int range = missed.nextSetBit(0);
                    range >= 0 && left > 0;
                    range = missed.nextSetBit(range + 1)) {
                missed.clear(range);
                if (!layout.keepers(range).contains(each.getKey())) {
                    continue;
                }
                outs.add(
                        new Out(
                                each.getKey(),
                                new CopyMessage.Compare(
                                        layout.epoch(),
                                        range,
                                        stock.digest(range),
                                        stock.count(range),
                                        false)));
                left--;
            }
        }
        hints.values().removeIf(BitSet::isEmpty);
    }

    // ---- a disk that may be old

    private void cameBack(Duration now) {
        Set<String> others = new HashSet<>();
        for (Layout.Server each : layout.servers()) {
            if (!each.name().equals(name)) {
                others.add(each.name());
            }
        }
        long highest = returning.told.values().stream().mapToLong(Long::longValue).max().orElse(0);
        if (highest > number) {
            // Guards against an old image of a disk: what was said since is forgotten here, and as
            // good as a lost disk.
            oldDisks++;
            number = highest + 1;
            returning = null;
            forgotten(now);
            return;
        }
        Duration waited = now.minus(returning.began);
        Set<String> untold = new HashSet<>(others);
        untold.removeAll(returning.told.keySet());
        // Whom this server does not see need not be waited for, once most others have spoken.
        boolean rest =
                returning.told.size() >= Layout.majority(others.size())
                        && away.keySet().containsAll(untold);
        boolean enough =
                untold.isEmpty()
                        || rest
                        || !returning.told.isEmpty() && waited.compareTo(WAITS_FOR_ALL) >= 0;
        if (enough || waited.compareTo(WAITS_FOR_ANY) >= 0) {
            returning = null;
            changed = true;
            return;
        }
        if (returning.asked != null && now.minus(returning.asked).compareTo(ASKS) < 0) {
            return;
        }
        returning.asked = now;
        for (String other : others) {
            if (!returning.told.containsKey(other)) {
                outs.add(new Out(other, new CopyMessage.Recollect(returning.nonce)));
            }
        }
    }

    // ---- what others say

    public void received(String from, CopyMessage message, Duration now) {
        if (message instanceof CopyMessage.Claim claim) {
            claimed(from, claim, now);
        } else if (message instanceof CopyMessage.Look look) {
            looked(from, look);
        } else if (message instanceof CopyMessage.Ended ended) {
            ended(from, ended, now);
        } else if (message instanceof CopyMessage.Release release) {
            released(release, now);
        } else if (message instanceof CopyMessage.Fetch fetch) {
            fetched(from, fetch, now);
        } else if (message instanceof CopyMessage.Page page) {
            page(from, page, now);
        } else if (message instanceof CopyMessage.Compare compare) {
            compared(from, compare);
        } else if (message instanceof CopyMessage.Recollected told) {
            recollected(from, told, now);
        } else if (message instanceof CopyMessage.Piece piece) {
            pieces.received(piece).ifPresent(wholes::add);
            outs.addAll(pieces.tick(now));
        }
    }

    private void recollected(String from, CopyMessage.Recollected told, Duration now) {
        if (returning == null || told.nonce() != returning.nonce) {
            return;
        }
        returning.told.put(from, told.number());
        cameBack(now);
    }

    /**
     * The end of a window, of which a peer says that so much is left: no more than the longest that
     * there is.
     */
    private Duration until(Duration left, Duration now) {
        return now.plus(left.compareTo(bounds.longest) < 0 ? left : bounds.longest);
    }

    private boolean keeps(String token) {
        return layout.keepers(Layout.range(token)).contains(name);
    }

    private boolean room(Entry entry) {
        return (entry != Entry.NOTHING || stock.size() < bounds.most)
                && stock.bytes() < bounds.mostBytes - bounds.mostBytes / RESERVE_PART;
    }

    private void claimed(String from, CopyMessage.Claim claim, Duration now) {
        Entry entry = entry(claim.token());
        CopyMessage.Word word = word(entry, claim.token(), claim.id(), claim.epoch());
        if (word == CopyMessage.Word.FREE) {
            boolean known = entry.claims().containsKey(claim.id());
            boolean room = known || !entry.full() && room(entry);
            word = room ? CopyMessage.Word.GRANTED : CopyMessage.Word.FULL;
            // One that is said again came later than the first, whose window was long enough.
            if (room && !known) {
                put(
                        claim.token(),
                        entry.claimed(claim.id(), claim.body(), until(claim.left(), now)));
            }
        }
        answer(from, entry, claim.token(), claim.id(), word);
    }

    private void looked(String from, CopyMessage.Look look) {
        Entry entry = entry(look.token());
        answer(
                from,
                entry,
                look.token(),
                look.id(),
                word(entry, look.token(), look.id(), look.epoch()));
    }

    private void answer(String to, Entry entry, String token, ClaimId id, CopyMessage.Word word) {
        outs.add(
                new Out(
                        to,
                        new CopyMessage.Answer(
                                layout.epoch(),
                                token,
                                id,
                                word,
                                entry.ended().or(() -> entry.other(id)),
                                entry.outcome(),
                                number)));
    }

    private CopyMessage.Word word(Entry entry, String token, ClaimId id, long epoch) {
        // An end is true whatever the epoch; all else is answered for the present one only.
        if (entry.outcome().isPresent()) {
            return CopyMessage.Word.DONE;
        }
        if (epoch < layout.epoch()) {
            return CopyMessage.Word.STALE;
        }
        if (epoch > layout.epoch()
                || returning != null
                || !keeps(token)
                || pulls.behind(Layout.range(token))) {
            return CopyMessage.Word.BEHIND;
        }
        if (entry.released().contains(id)) {
            return CopyMessage.Word.RELEASED;
        }
        return entry.other(id).isPresent() ? CopyMessage.Word.HELD : CopyMessage.Word.FREE;
    }

    private void ended(String from, CopyMessage.Ended ended, Duration now) {
        Entry entry = entry(ended.token());
        if (!entry.outcomes().containsKey(ended.id())) {
            put(
                    ended.token(),
                    entry.ended(ended.id(), ended.outcome().told(), until(ended.left(), now)));
        }
        Outcome kept = entry(ended.token()).outcomes().get(ended.id());
        if (!kept.here()) {
            // It counts once the result is here, too.
            pieces.want(ended.token(), ended.id(), kept, from, ended.epoch(), now);
            outs.addAll(pieces.tick(now));
            return;
        }
        kept(from, ended.epoch(), ended.token(), ended.id());
    }

    private void kept(String to, long epoch, String token, ClaimId id) {
        if (epoch != layout.epoch()
                || returning != null
                || !keeps(token)
                || pulls.behind(Layout.range(token))) {
            return;
        }
        outs.add(new Out(to, new CopyMessage.Kept(layout.epoch(), token, id, number)));
    }

    /** A long result is kept here now, and will be as long as its entry. */
    public void shelved(Pieces.Whole whole) {
        Entry entry = entry(whole.token());
        Outcome outcome = entry.outcomes().get(whole.id());
        if (outcome == null) {
            return; // past its window meanwhile
        }
        put(
                whole.token(),
                entry.join(
                        new Entry(
                                Map.of(),
                                Set.of(),
                                Map.of(whole.id(), outcome.with(true)),
                                entry.until())));
        kept(whole.from(), whole.epoch(), whole.token(), whole.id());
    }

    private void released(CopyMessage.Release release, Duration now) {
        Entry entry = entry(release.token());
        if (entry.released().contains(release.id())
                || entry.released().size() >= Entry.MOST
                || entry == Entry.NOTHING && !room(entry)) {
            return;
        }
        // Where nothing is known of it the claim may still come, late: then it finds itself
        // released.
        put(release.token(), entry.release(release.id(), until(release.left(), now)));
    }

    // ---- copies

    private void fetched(String from, CopyMessage.Fetch fetch, Duration now) {
        if (fetch.layout() != null) {
            become(fetch.layout(), now);
        }
        if (fetch.epoch() != layout.epoch() || !sends.open(now)) {
            return;
        }
        int range = fetch.range();
        Optional<Sketch.Difference> difference = Optional.empty();
        Iterable<String> tokens = List.of();
        if (fetch.sketch() != null) {
            difference = stock.sketch(range, fetch.sketch().cells()).less(fetch.sketch());
            if (difference.isPresent()) {
                tokens = stock.marked(range, difference.get().mine());
            }
        } else if (!fetch.marks().isEmpty()) {
            tokens = stock.marked(range, Set.copyOf(fetch.marks()));
        } else if (fetch.order() == CopyMessage.Order.NEWEST) {
            Duration until =
                    fetch.place().untilNs() == Long.MAX_VALUE
                            ? Duration.ofSeconds(Long.MAX_VALUE)
                            : Duration.ofNanos(fetch.place().untilNs());
            tokens = stock.newest(range, until, fetch.place().token());
        } else {
            tokens = stock.after(range, fetch.place().token());
        }
        boolean told = fetch.sketch() == null || difference.isPresent();
        List<CopyMessage.Item> items = new ArrayList<>();
        List<Long> rest = new ArrayList<>();
        int bytes = 0;
        boolean last = told;
        CopyMessage.Place place = fetch.place();
        for (String token : tokens) {
            Entry entry = entry(token);
            if (entry.until().compareTo(now) <= 0) {
                continue;
            }
            CopyMessage.Item item =
                    new CopyMessage.Item(
                            token, entry.told(Duration.ZERO), entry.until().minus(now));
            if (!last || bytes > 0 && bytes + item.bytes() > PAGE) {
                last = false;
                boolean walk = fetch.sketch() == null && fetch.marks().isEmpty();
                if (walk || rest.size() == REST) {
                    break;
                }
                rest.add(stock.mark(token));
                continue;
            }
            items.add(item);
            bytes += item.bytes();
            place = new CopyMessage.Place(entry.until().toNanos(), token);
        }
        sends.spend(bytes + Sketch.CELL);
        sentBytes += bytes;
        outs.add(
                new Out(
                        from,
                        new CopyMessage.Page(
                                layout.epoch(),
                                range,
                                fetch.nonce(),
                                items,
                                place,
                                last,
                                source(range),
                                told,
                                rest,
                                stock.count(range),
                                stock.digest(range))));
    }

    private void page(String from, CopyMessage.Page page, Duration now) {
        if (page.epoch() != layout.epoch()) {
            return;
        }
        for (CopyMessage.Item item : page.items()) {
            take(from, item, now);
        }
        int before = pulls.behind();
        pulls.page(from, page, layout, now).ifPresent(outs::add);
        // The next range at once: each that waits for the host's beat is one that nobody can claim
        // in meanwhile.
        if (pulls.behind() > 0) {
            outs.addAll(pulls.tick(layout, now));
        }
        if (pulls.behind() != before) {
            changed = true;
        }
    }

    /** A copy that was under way for as long as its window brings nothing back to life. */
    private void take(String from, CopyMessage.Item item, Duration now) {
        if (item.left().isNegative() || item.left().isZero()) {
            return;
        }
        Entry mine = entry(item.token());
        if (mine == Entry.NOTHING && stock.size() >= bounds.most) {
            return;
        }
        Duration until = until(item.left(), now);
        Entry told =
                new Entry(
                        item.entry().claims(),
                        item.entry().released(),
                        item.entry().outcomes(),
                        until);
        Entry joined = mine.join(told);
        boolean more =
                !joined.claims().equals(mine.claims())
                        || !joined.released().equals(mine.released())
                        || !joined.outcomes().equals(mine.outcomes());
        if (more) {
            put(item.token(), joined);
        }
        entry(item.token())
                .outcomes()
                .forEach(
                        (id, outcome) -> {
                            if (!outcome.here()) {
                                pieces.want(item.token(), id, outcome, from, layout.epoch(), now);
                            }
                        });
    }

    /**
     * Compares one of its ranges with another keeper of it: all the time, at a rate that does not
     * depend on what differs.
     */
    public void compare(RandomGenerator chance) {
        int range = chance.nextInt(Layout.RANGES);
        List<String> others = new ArrayList<>(layout.keepers(range));
        if (!others.remove(name) || others.isEmpty()) {
            return;
        }
        compares++;
        outs.add(
                new Out(
                        others.get(chance.nextInt(others.size())),
                        new CopyMessage.Compare(
                                layout.epoch(),
                                range,
                                stock.digest(range),
                                stock.count(range),
                                false)));
    }

    private void compared(String from, CopyMessage.Compare compare) {
        if (compare.epoch() != layout.epoch()
                || stock.digest(compare.range()) == compare.digest()) {
            return;
        }
        List<String> keepers = layout.keepers(compare.range());
        if (!keepers.contains(name) || !keepers.contains(from)) {
            return;
        }
        differed++;
        pulls.repair(compare.range(), from, compare.count());
        if (!compare.back()) {
            outs.add(
                    new Out(
                            from,
                            new CopyMessage.Compare(
                                    layout.epoch(),
                                    compare.range(),
                                    stock.digest(compare.range()),
                                    stock.count(compare.range()),
                                    true)));
        }
    }

    /**
     * Compares all of its ranges with all other keepers of them, as an operator asks for; tells how
     * many.
     */
    public int compareAll() {
        int asked = 0;
        for (int range = 0; range < Layout.RANGES; range++) {
            List<String> keepers = layout.keepers(range);
            if (!keepers.contains(name)) {
                continue;
            }
            for (String other : keepers) {
                if (other.equals(name)) {
                    continue;
                }
                hints.computeIfAbsent(other, ignored -> new BitSet()).set(range);
                asked++;
            }
        }
        return asked;
    }

    /** All that decides what it does next, as text; times are told from now on. */
    public String state(Duration now) {
        StringBuilder text =
                new StringBuilder()
                        .append(layout.epoch())
                        .append(lost)
                        .append(number)
                        .append(returning == null ? "" : returning.told);
        stock.all()
                .forEach(
                        (token, entry) ->
                                text.append(token)
                                        .append(entry.claims())
                                        .append(entry.released())
                                        .append(entry.outcomes())
                                        .append(entry.until().minus(now)));
        return text.append(pulls.state()).append(pieces.state()).toString();
    }
}
