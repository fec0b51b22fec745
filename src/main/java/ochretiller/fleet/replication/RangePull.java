package ochretiller.fleet.replication;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import ochretiller.fleet.consensus.ReplicaPlacement;

/**
 * The pull of what one range lacks from one source, page by page. Nearly equal copies are told
 * apart by a sketch; where too much differs the range is walked through, entries with the latest
 * expiry first, and a sketch at the end finds what has changed meanwhile. Every request stands for
 * itself, so that a pull may be broken off and resumed anywhere. Not thread-safe.
 */
final class RangePull {
    /** A request that is not answered for so long is repeated. */
    static final Duration RETRY_INTERVAL = Duration.ofMillis(300);

    /**
     * Cells of a sketch beside a whole placement, and of the first one where the source's count is
     * not known.
     */
    private static final int SMALL_SKETCH_CELLS = 24;

    /** Factor by which the next sketch is larger after one that could not be decoded. */
    private static final int SKETCH_GROWTH = 4;

    /** Cells of a sketch where the source's entry count is known: at least so many, */
    private static final int MIN_SKETCH_CELLS = 12;

    /** and so many for each entry by which the counts differ. */
    private static final double CELLS_PER_DIFFERENCE = 1.6;

    /** From so many times as many entries on, a walk is cheaper than a sketch of the difference. */
    private static final int WALK_FACTOR = 2;

    /**
     * Unanswered requests after which a repair is abandoned: a later comparison finds the
     * difference again.
     */
    private static final int MAX_REPAIR_TIMEOUTS = 5;

    /** How the next page is asked for. */
    private enum Method {
        /** A sketch of what is here. */
        SKETCH,
        /** The digests of entries that the source has told of. */
        DIGESTS,
        /** A walk, latest expiry first. */
        WALK_BY_EXPIRY,
        /** A walk by token. */
        WALK_BY_TOKEN
    }

    private final int range;
    private final boolean repair;
    private final ReplicaEntries entries;
    private Method method;
    private int sketchCells = SMALL_SKETCH_CELLS;
    private ReplicationMessage.RangeCursor cursor = ReplicationMessage.RangeCursor.START;
    private List<Long> missingDigests = List.of();
    private boolean walked;
    private long nonce;
    private Optional<Duration> requestedAt = Optional.empty();
    private int timeouts;
    private long digestAtRequest;

    private RangePull(int range, boolean repair, ReplicaEntries entries) {
        this.range = range;
        this.repair = repair;
        this.entries = entries;
        chooseFirstMethod();
    }

    /** A pull that a lagging range needs. */
    static RangePull forCatchUp(int range, ReplicaEntries entries) {
        return new RangePull(range, false, entries);
    }

    /** A pull of a difference that a comparison has found, from a source with so many entries. */
    static RangePull forRepair(int range, ReplicaEntries entries, int sourceEntryCount) {
        RangePull pull = new RangePull(range, true, entries);
        pull.sketchCells = pull.cellsFor(sourceEntryCount);
        return pull;
    }

    boolean isRepair() {
        return repair;
    }

    boolean wasRequested() {
        return nonce != 0;
    }

    boolean isAwaitingReply(Duration now) {
        return requestedAt.isPresent()
                && now.minus(requestedAt.get()).compareTo(RETRY_INTERVAL) < 0;
    }

    /** Returns whether a request has been sent and not answered in time. */
    boolean hasTimedOut(Duration now) {
        return requestedAt.isPresent() && !isAwaitingReply(now);
    }

    boolean expects(long replyNonce) {
        return nonce == replyNonce;
    }

    void recordTimeout() {
        timeouts++;
    }

    void recordReply() {
        timeouts = 0;
    }

    boolean isAbandonedRepair() {
        return repair && timeouts >= MAX_REPAIR_TIMEOUTS;
    }

    /** Lets the next tick ask, whenever the last request was. */
    void makeDue() {
        requestedAt = Optional.empty();
    }

    /** Lets the next request wait as long as if one had been sent now. */
    void postpone(Duration now) {
        requestedAt = Optional.of(now);
    }

    /** Chooses the method of the first request by what is here now. */
    void chooseFirstMethod() {
        method = entries.entryCount(range) == 0 ? Method.WALK_BY_EXPIRY : Method.SKETCH;
    }

    /** At least as many entries differ as one side has more than the other. */
    private int cellsFor(int sourceEntryCount) {
        int difference = Math.abs(sourceEntryCount - entries.entryCount(range));
        int cells = MIN_SKETCH_CELLS / 2 + (int) (CELLS_PER_DIFFERENCE * difference);
        return Math.max(MIN_SKETCH_CELLS, Math.min(SetSketch.MAX_CELLS, cells));
    }

    /**
     * Returns the next request, and records that it is sent.
     *
     * @param sourceKnowsEpoch whether the placement need not be sent along; beside it there is room
     *     for a small sketch only
     */
    ReplicationMessage.RangeRequest nextRequest(
            long newNonce, ReplicaPlacement placement, boolean sourceKnowsEpoch, Duration now) {
        requestedAt = Optional.of(now);
        nonce = newNonce;
        digestAtRequest = entries.rangeDigest(range);
        if (!sourceKnowsEpoch && method == Method.DIGESTS) {
            method = Method.SKETCH;
        }
        return new ReplicationMessage.RangeRequest(
                placement.epoch(),
                range,
                nonce,
                method == Method.WALK_BY_TOKEN
                        ? ReplicationMessage.WalkOrder.TOKEN_NAME
                        : ReplicationMessage.WalkOrder.LATEST_EXPIRY,
                cursor,
                sketch(sourceKnowsEpoch),
                method == Method.DIGESTS ? missingDigests : List.of(),
                sourceKnowsEpoch ? Optional.empty() : Optional.of(placement));
    }

    private Optional<SetSketch> sketch(boolean sourceKnowsEpoch) {
        if (method != Method.SKETCH) {
            return Optional.empty();
        }
        int cells = sourceKnowsEpoch ? sketchCells : Math.min(sketchCells, SMALL_SKETCH_CELLS);
        return Optional.of(entries.sketch(range, cells));
    }

    /**
     * Takes the reply to the last request, whose entries are stored already, and decides how to ask
     * next.
     *
     * @return whether the pull is over, since the source has sent everything that was lacking
     */
    boolean advance(ReplicationMessage.RangePage page) {
        return switch (method) {
            case SKETCH -> advanceAfterSketch(page);
            case DIGESTS -> advanceAfterDigests(page);
            case WALK_BY_EXPIRY, WALK_BY_TOKEN -> advanceAfterWalk(page);
        };
    }

    private boolean advanceAfterSketch(ReplicationMessage.RangePage page) {
        if (page.sketchDecoded()) {
            askForRemaining(page);
            // Where there is no capacity for what comes nothing changes, and the pull would never
            // end.
            return page.last() || isUnchangedSinceRequest();
        }
        boolean sourceHasFarMore = page.entryCount() > WALK_FACTOR * entries.entryCount(range);
        if (!sourceHasFarMore && sketchCells < SetSketch.MAX_CELLS) {
            sketchCells = Math.min(SetSketch.MAX_CELLS, sketchCells * SKETCH_GROWTH);
        } else {
            method = walked ? Method.WALK_BY_TOKEN : Method.WALK_BY_EXPIRY;
            cursor = ReplicationMessage.RangeCursor.START;
        }
        return false;
    }

    private boolean advanceAfterDigests(ReplicationMessage.RangePage page) {
        if (isUnchangedSinceRequest() || page.last() && isEqualTo(page)) {
            return true;
        }
        // Entries that have changed meanwhile have other digests: a sketch finds them once the
        // others are here.
        askForRemaining(page);
        return false;
    }

    private boolean advanceAfterWalk(ReplicationMessage.RangePage page) {
        cursor = page.cursor();
        if (!page.last()) {
            return false;
        }
        if (method == Method.WALK_BY_TOKEN || isEqualTo(page)) {
            return true;
        }
        // An entry whose expiry has changed during the walk may have been passed over: a sketch
        // finds what is lacking.
        walked = true;
        method = Method.SKETCH;
        sketchCells = SMALL_SKETCH_CELLS * SKETCH_GROWTH;
        return false;
    }

    private boolean isUnchangedSinceRequest() {
        return digestAtRequest == entries.rangeDigest(range);
    }

    private boolean isEqualTo(ReplicationMessage.RangePage page) {
        return page.rangeDigest() == entries.rangeDigest(range);
    }

    private void askForRemaining(ReplicationMessage.RangePage page) {
        method = page.remainingDigests().isEmpty() ? Method.SKETCH : Method.DIGESTS;
        missingDigests = page.remainingDigests();
        sketchCells = cellsFor(page.entryCount());
    }

    /** Returns what decides the next steps, as text. */
    String describeState() {
        return ""
                + repair
                + method
                + sketchCells
                + cursor
                + requestedAt.isEmpty()
                + timeouts
                + walked
                + missingDigests;
    }
}
