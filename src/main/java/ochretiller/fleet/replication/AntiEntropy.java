package ochretiller.fleet.replication;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import ochretiller.fleet.consensus.ReplicaPlacement;

/**
 * What a keeper fetches from others, range by range. A range that it is to catch up with counts
 * once it has heard all from as many as it needs; what differs by the way is repaired with what is
 * left of the allowance. Each fetch can be broken off and taken up anywhere: where copies are
 * nearly equal a sketch tells what is lacking, else the range is walked through, the newest first.
 */
final class AntiEntropy {
    /**
     * Fetches that wait for an answer at once: a whole fleet that comes back must not flood those
     * that have what it lacks.
     */
    private static final int AT_ONCE = 6;

    /** Of these for repair: what serves nobody yet goes before. */
    private static final int REPAIRS_AT_ONCE = 2;

    /** Repairs that wait; more are found again by the next comparisons. */
    private static final int MOST_REPAIRS = 512;

    /** A fetch that is not answered is said again. */
    private static final Duration AGAIN = Duration.ofMillis(300);

    /** A repair whose source says nothing so often is given up: a comparison will find it again. */
    private static final int TRIES = 5;

    /** Cells of a first sketch, and how much larger the next is where it told nothing. */
    private static final int FIRST_CELLS = 24;

    private static final int LARGER = 4;

    /**
     * Cells beside one of whom the count is known, at least, and for each by which the counts
     * differ.
     */
    private static final int LEAST_CELLS = 12;

    private static final double CELLS_EACH = 1.6;

    /** From so many times as many entries on a walk is cheaper than a sketch of what differs. */
    private static final int FAR = 2;

    private final String name;
    private final ReplicaEntries stock;
    private final ByteRateLimiter allowance;
    private final Map<Integer, Catch> catching = new TreeMap<>();
    private final Map<Place, Pull> pulls = new LinkedHashMap<>();

    /** Who has said something in this epoch, and needs to be told of it no more. */
    private final Set<String> know = new HashSet<>();

    private final UnresponsivePeers silence = new UnresponsivePeers();
    private final Map<String, Duration> probed = new HashMap<>();
    private long nonce;
    private long bytes;
    private long fetched;

    /** A range at a source. */
    private record Place(int range, String source) {}

    /** A range that is not whole yet. */
    private static final class Catch {
        final List<String> sources;
        final int needed;
        final Set<String> whole = new HashSet<>();

        /** Whether the range was kept and may be forgotten in part. */
        final boolean forgot;

        final Duration began;
        final Duration until;

        Catch(List<String> sources, int needed, boolean forgot, Duration began, Duration until) {
            this.sources = sources;
            this.needed = needed;
            this.forgot = forgot;
            this.began = began;
            this.until = until;
        }
    }

    private enum Way {
        SKETCH,
        MARKS,
        NEWEST,
        TOKEN
    }

    private static final class Pull {
        final boolean repair;
        Way way;
        int cells = FIRST_CELLS;
        ReplicationMessage.RangeCursor place = ReplicationMessage.RangeCursor.START;
        long nonce;
        Duration asked;
        int silent;
        boolean walked;
        long digest;
        List<Long> marks = List.of();

        Pull(boolean repair, Way way) {
            this.repair = repair;
            this.way = way;
        }
    }

    AntiEntropy(String name, ReplicaEntries stock, ByteRateLimiter allowance) {
        this.name = name;
        this.stock = stock;
        this.allowance = allowance;
    }

    /** Bytes of entries that came, as reckoned. */
    long bytes() {
        return bytes;
    }

    /** Entries that came. */
    long fetched() {
        return fetched;
    }

    int behind() {
        return catching.size();
    }

    boolean behind(int range) {
        return catching.containsKey(range);
    }

    Set<Integer> rangesBehind() {
        return Set.copyOf(catching.keySet());
    }

    Set<Integer> rangesForgotten() {
        Set<Integer> all = new HashSet<>();
        catching.forEach(
                (range, each) -> {
                    if (each.forgot) {
                        all.add(range);
                    }
                });
        return all;
    }

    /** How long the range that has waited longest is not whole. */
    Duration oldest(Duration now) {
        return catching.values().stream()
                .map(each -> now.minus(each.began))
                .max(Duration::compareTo)
                .orElse(Duration.ZERO);
    }

    /**
     * Whether this keeper's own copy is one of those that make a range whole, or null where the
     * range is whole.
     */
    Boolean ownCounts(int range) {
        Catch each = catching.get(range);
        return each == null ? null : (Boolean) each.whole.contains(name);
    }

    /**
     * Whoever is asked in a later epoch has to be told of it, and what was under way in the last
     * one is void.
     */
    void epoch() {
        know.clear();
        silence.clear();
        probed.clear();
        pulls.clear();
    }

    void whole(int range) {
        catching.remove(range);
        pulls.keySet().removeIf(each -> each.range == range);
    }

    /**
     * A range counts from when so many of the sources have told all of it.
     *
     * @param had whether this keeper's own copy is one of them
     * @param forgot whether it kept the range and may have forgotten some of it
     */
    void catchUp(
            int range,
            List<String> sources,
            int needed,
            boolean had,
            boolean forgot,
            Duration now,
            Duration until) {
        whole(range);
        Catch fresh = new Catch(sources, needed, forgot, now, until);
        if (had) {
            fresh.whole.add(name);
        }
        if (fresh.whole.size() < needed) {
            catching.put(range, fresh);
        }
    }

    /** What differs from another's copy is fetched when there is time. */
    void repair(int range, String source, int count) {
        Place place = new Place(range, source);
        if (catching.containsKey(range)
                || pulls.containsKey(place)
                || pulls.size() >= MOST_REPAIRS) {
            return;
        }
        Pull pull = new Pull(true, way(range));
        pull.cells = cells(range, count);
        pulls.put(place, pull);
    }

    /**
     * Cells for a sketch beside one who has so many entries: at least as many differ as one has
     * more than the other.
     */
    private int cells(int range, int count) {
        return Math.max(
                LEAST_CELLS,
                Math.min(
                        SetSketch.MAX_CELLS,
                        LEAST_CELLS / 2
                                + (int) (CELLS_EACH * Math.abs(count - stock.entryCount(range)))));
    }

    private Way way(int range) {
        return stock.entryCount(range) == 0 ? Way.NEWEST : Way.SKETCH;
    }

    /** What to ask now. */
    List<Replica.OutboundMessage> tick(ReplicaPlacement layout, Duration now) {
        // Behind the longest window nothing that is missing can matter any more.
        for (Map.Entry<Integer, Catch> each : List.copyOf(catching.entrySet())) {
            if (now.compareTo(each.getValue().until) >= 0) {
                whole(each.getKey());
            }
        }
        pulls.values().removeIf(pull -> pull.repair && pull.silent >= TRIES);
        int waiting = 0;
        int repairs = 0;
        Set<Integer> busy = new HashSet<>();
        for (Map.Entry<Place, Pull> each : pulls.entrySet()) {
            Pull pull = each.getValue();
            if (pull.asked == null
                    || now.minus(pull.asked).compareTo(AGAIN) >= 0
                    || silence.isUnresponsive(each.getKey().source)) {
                continue;
            }
            busy.add(each.getKey().range);
            if (pull.repair) {
                repairs++;
            } else {
                waiting++;
            }
        }
        catching.forEach(
                (range, each) -> {
                    for (String source : each.sources) {
                        if (source.equals(name) || each.whole.contains(source)) {
                            continue;
                        }
                        Place place = new Place(range, source);
                        if (pulls.containsKey(place) || pulls.size() >= 2 * MOST_REPAIRS) {
                            continue;
                        }
                        pulls.put(place, new Pull(false, way(range)));
                    }
                });
        List<Replica.OutboundMessage> outs = new ArrayList<>();
        for (boolean repair : new boolean[] {false, true}) {
            for (Map.Entry<Place, Pull> each : pulls.entrySet()) {
                Pull pull = each.getValue();
                if (pull.repair != repair
                        || pull.asked != null && now.minus(pull.asked).compareTo(AGAIN) < 0) {
                    continue;
                }
                // One source of a range at a time: what two lack nothing of is fetched once.
                if (pull.nonce == 0 && busy.contains(each.getKey().range)) {
                    continue;
                }
                if (pull.nonce == 0) {
                    pull.way = way(each.getKey().range);
                }
                if (waiting + repairs >= AT_ONCE
                        || repair && repairs >= REPAIRS_AT_ONCE
                        || !allowance.hasTokens(now)) {
                    break;
                }
                String source = each.getKey().source;
                if (pull.asked != null) {
                    pull.silent++;
                    silence.recordUnanswered(source);
                    know.remove(source); // it may not know of the epoch, and say nothing for that
                }
                // Guards against one that is away and keeps all others waiting: it is asked now and
                // then.
                if (silence.isUnresponsive(source)) {
                    Duration last = probed.get(source);
                    if (last != null && now.minus(last).compareTo(AGAIN) < 0) {
                        pull.asked = null;
                        continue;
                    }
                    probed.put(source, now);
                    outs.add(ask(each.getKey(), pull, layout, now));
                    continue;
                }
                if (repair) {
                    repairs++;
                } else {
                    waiting++;
                }
                busy.add(each.getKey().range);
                outs.add(ask(each.getKey(), pull, layout, now));
            }
        }
        return outs;
    }

    private Replica.OutboundMessage ask(
            Place at, Pull pull, ReplicaPlacement layout, Duration now) {
        pull.asked = now;
        pull.nonce = ++nonce;
        pull.digest = stock.rangeDigest(at.range);
        // Beside the layout of a large fleet there is room for a small sketch only.
        boolean told = know.contains(at.source);
        if (!told && pull.way == Way.MARKS) {
            pull.way = Way.SKETCH;
        }
        SetSketch sketch =
                pull.way == Way.SKETCH
                        ? stock.sketch(
                                at.range, told ? pull.cells : Math.min(pull.cells, FIRST_CELLS))
                        : null;
        return new Replica.OutboundMessage(
                at.source,
                new ReplicationMessage.RangeRequest(
                        layout.epoch(),
                        at.range,
                        pull.nonce,
                        pull.way == Way.TOKEN
                                ? ReplicationMessage.WalkOrder.TOKEN_NAME
                                : ReplicationMessage.WalkOrder.LATEST_EXPIRY,
                        pull.place,
                        sketch,
                        pull.way == Way.MARKS ? pull.marks : List.of(),
                        told ? null : layout));
    }

    /**
     * A page has come and its items are taken; what to ask next of the same source, if anything.
     */
    Optional<Replica.OutboundMessage> page(
            String from, ReplicationMessage.RangePage page, ReplicaPlacement layout, Duration now) {
        Place at = new Place(page.range(), from);
        Pull pull = pulls.get(at);
        if (pull == null || pull.nonce != page.nonce()) {
            return Optional.empty();
        }
        know.add(from);
        silence.recordReply(from);
        pull.silent = 0;
        for (ReplicationMessage.TransferredEntry item : page.entries()) {
            allowance.spend(item.estimatedBytes());
            bytes += item.estimatedBytes();
            fetched++;
        }
        if (over(pull, page)) {
            pulls.remove(at);
            Catch each = catching.get(page.range());
            if (each == null || pull.repair) {
                return Optional.empty();
            }
            if (!page.sourceComplete()) {
                // It has no more itself, and lacks some: it is asked again in a while.
                Pull again = new Pull(false, way(page.range()));
                again.asked = now;
                pulls.put(at, again);
                return Optional.empty();
            }
            each.whole.add(from);
            if (each.whole.size() >= each.needed) {
                whole(page.range());
            }
            return Optional.empty();
        }
        if (!allowance.hasTokens(now)) {
            pull.asked = null; // the next tick with something left asks
            return Optional.empty();
        }
        return Optional.of(ask(at, pull, layout, now));
    }

    /**
     * Whether the source has told all that was lacking as it was asked; else what way the next
     * question goes.
     */
    private boolean over(Pull pull, ReplicationMessage.RangePage page) {
        if (pull.way == Way.SKETCH) {
            // Guards against a fetch without end where there is no room for what comes: nothing has
            // changed by it.
            if (page.sketchDecoded()) {
                rest(pull, page);
                return page.last() || pull.digest == stock.rangeDigest(page.range());
            }
            boolean far = page.entryCount() > FAR * stock.entryCount(page.range());
            if (!far && pull.cells < SetSketch.MAX_CELLS) {
                pull.cells = Math.min(SetSketch.MAX_CELLS, pull.cells * LARGER);
            } else {
                pull.way = pull.walked ? Way.TOKEN : Way.NEWEST;
                pull.place = ReplicationMessage.RangeCursor.START;
            }
            return false;
        }
        if (pull.way == Way.MARKS) {
            if (pull.digest == stock.rangeDigest(page.range())
                    || page.last() && page.rangeDigest() == stock.rangeDigest(page.range())) {
                return true;
            }
            // What has changed meanwhile bears another mark: a sketch tells it, once all the others
            // are here.
            rest(pull, page);
            return false;
        }
        pull.place = page.cursor();
        if (!page.last()) {
            return false;
        }
        if (pull.way == Way.TOKEN || page.rangeDigest() == stock.rangeDigest(page.range())) {
            return true;
        }
        // Guards against what has changed its place during the walk: a sketch tells what is lacking
        // still.
        pull.walked = true;
        pull.way = Way.SKETCH;
        pull.cells = FIRST_CELLS * LARGER;
        return false;
    }

    /**
     * What was told and is not here yet is asked for by its marks; with none, or none left, a
     * sketch is next.
     */
    private void rest(Pull pull, ReplicationMessage.RangePage page) {
        pull.way = page.remainingDigests().isEmpty() ? Way.SKETCH : Way.MARKS;
        pull.marks = page.remainingDigests();
        pull.cells = cells(page.range(), page.entryCount());
    }

    String state() {
        StringBuilder text = new StringBuilder();
        catching.forEach((range, each) -> text.append('c').append(range).append(each.whole));
        pulls.forEach(
                (at, pull) ->
                        text.append('p')
                                .append(at)
                                .append(pull.repair)
                                .append(pull.way)
                                .append(pull.cells)
                                .append(pull.place)
                                .append(pull.asked == null)
                                .append(pull.silent)
                                .append(pull.walked)
                                .append(pull.marks));
        return text.append(know).toString();
    }
}
