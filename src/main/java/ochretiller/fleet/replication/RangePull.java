package ochretiller.fleet.replication;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import ochretiller.fleet.consensus.ReplicaPlacement;

/**
 * Pulls the missing entries of one range from one source, page by page. A sketch finds the
 * differences of nearly equal copies. If too much differs, the range is walked, latest expiry
 * first, and a final sketch finds entries that changed meanwhile. Requests are self-contained, so
 * that a pull can be aborted and resumed at any point. Not thread-safe; callers pass the time.
 */
final class RangePull {
    /** Interval after which an unanswered request is repeated. */
    static final Duration RETRY_INTERVAL = Duration.ofMillis(300);

    /**
     * Cells of a sketch that is sent with a whole placement, and of the first sketch if the
     * source's entry count is unknown.
     */
    private static final int SMALL_SKETCH_CELLS = 24;

    /** Factor by which the sketch grows if the previous one could not be decoded. */
    private static final int SKETCH_GROWTH = 4;

    /** Minimum number of cells of a sketch if the source's entry count is known. */
    private static final int MIN_SKETCH_CELLS = 12;

    /** Cells added to a sketch for each entry by which the two entry counts differ. */
    private static final double CELLS_PER_DIFFERENCE = 1.6;

    /** Ratio of the source's to the local entry count above which a walk is cheaper. */
    private static final int WALK_FACTOR = 2;

    /**
     * Consecutive unanswered requests after which a repair is abandoned; a later comparison finds
     * the difference again.
     */
    private static final int MAX_REPAIR_TIMEOUTS = 5;

    /** How the next page is requested. */
    private enum Method {
        /** By a sketch of the local entries. */
        SKETCH,
        /** By digests of missing entries that the source has listed. */
        DIGESTS,
        /** By a walk, latest expiry first. */
        WALK_BY_EXPIRY,
        /** By a walk in token order. */
        WALK_BY_TOKEN
    }

    private final int range;
    private final boolean repair;
    private final ReplicaEntries entries;
    private Method method;
    private int sketchCells = SMALL_SKETCH_CELLS;
    private ReplicationMessage.RangeCursor cursor = ReplicationMessage.RangeCursor.START;
    private List<Long> missingDigests = List.of();
    private boolean expiryWalkDone;
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

    /** Creates a pull for a lagging range. */
    static RangePull forCatchUp(int range, ReplicaEntries entries) {
        return new RangePull(range, false, entries);
    }

    /** Creates a pull for a difference that a comparison has found. */
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

    boolean matchesNonce(long replyNonce) {
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

    /** Makes the next request due at once, whenever the last one was sent. */
    void makeDue() {
        requestedAt = Optional.empty();
    }

    /** Delays the next request by {@link #RETRY_INTERVAL}. */
    void postpone(Duration now) {
        requestedAt = Optional.of(now);
    }

    /** Chooses the first method: a walk if there are no local entries, else a sketch. */
    void chooseFirstMethod() {
        method = entries.entryCount(range) == 0 ? Method.WALK_BY_EXPIRY : Method.SKETCH;
    }

    /** The difference of the counts is a lower bound on the number of differing entries. */
    private int cellsFor(int sourceEntryCount) {
        int difference = Math.abs(sourceEntryCount - entries.entryCount(range));
        int cells = MIN_SKETCH_CELLS / 2 + (int) (CELLS_PER_DIFFERENCE * difference);
        return Math.max(MIN_SKETCH_CELLS, Math.min(SetSketch.MAX_CELLS, cells));
    }

    /**
     * Returns the next request, and records it as sent.
     *
     * @param sourceKnowsEpoch whether the placement need not be included; if it is, only a small
     *     sketch fits into the request
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
     * Processes the reply to the last request, whose entries have been stored, and chooses the
     * method of the next one.
     *
     * @return whether the pull is finished and needs no further request
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
            requestRemaining(page);
            // If there is no capacity for the received entries, nothing changes and the pull would
            // never end.
            return page.isLast() || isUnchangedSinceRequest();
        }
        boolean sourceHasFarMore = page.entryCount() > WALK_FACTOR * entries.entryCount(range);
        if (!sourceHasFarMore && sketchCells < SetSketch.MAX_CELLS) {
            sketchCells = Math.min(SetSketch.MAX_CELLS, sketchCells * SKETCH_GROWTH);
        } else {
            method = expiryWalkDone ? Method.WALK_BY_TOKEN : Method.WALK_BY_EXPIRY;
            cursor = ReplicationMessage.RangeCursor.START;
        }
        return false;
    }

    private boolean advanceAfterDigests(ReplicationMessage.RangePage page) {
        if (isUnchangedSinceRequest() || page.isLast() && isEqualTo(page)) {
            return true;
        }
        // Entries that have changed meanwhile have new digests: a sketch finds them after the
        // others have been received.
        requestRemaining(page);
        return false;
    }

    private boolean advanceAfterWalk(ReplicationMessage.RangePage page) {
        cursor = page.cursor();
        if (!page.isLast()) {
            return false;
        }
        if (method == Method.WALK_BY_TOKEN || isEqualTo(page)) {
            return true;
        }
        // The walk may have missed entries whose expiry changed meanwhile: a sketch finds them.
        expiryWalkDone = true;
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

    private void requestRemaining(ReplicationMessage.RangePage page) {
        method = page.remainingDigests().isEmpty() ? Method.SKETCH : Method.DIGESTS;
        missingDigests = page.remainingDigests();
        sketchCells = cellsFor(page.entryCount());
    }

    /** Returns the state that determines future behaviour, as text. */
    String describeState() {
        return ""
                + repair
                + method
                + sketchCells
                + cursor
                + requestedAt.isEmpty()
                + timeouts
                + expiryWalkDone
                + missingDigests;
    }
}
