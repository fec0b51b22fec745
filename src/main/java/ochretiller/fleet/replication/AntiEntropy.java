package ochretiller.fleet.replication;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import ochretiller.fleet.consensus.ReplicaPlacement;

/**
 * Pulls missing entries from other replicas, range by range. Lagging ranges come first: the replica
 * must not vote on them until it has pulled them completely from enough sources. The rest of the
 * transfer rate is used to repair differences that comparisons have found. Anti-entropy in the
 * sense of Demers et al. 1987 ("Epidemic Algorithms for Replicated Database Maintenance"), with set
 * sketches in place of Merkle trees. Not thread-safe; callers pass the time.
 */
final class AntiEntropy {
    /** Number of pulls at which new repairs are left to a later comparison. */
    private static final int MAX_PULLS_FOR_REPAIR = 512;

    /** Number of pulls at which new catch-ups are left to a later tick. */
    private static final int MAX_PULLS_FOR_CATCH_UP = 2 * MAX_PULLS_FOR_REPAIR;

    private final String self;
    private final ReplicaEntries entries;
    private final ByteRateLimiter rateLimiter;
    private final LaggingRanges laggingRanges = new LaggingRanges();
    private final Map<PullTarget, RangePull> pulls = new LinkedHashMap<>();
    private final PullSources sources = new PullSources();
    private long lastNonce;
    private long receivedBytes;
    private long receivedEntries;

    /** A range and the replica to pull it from. */
    private record PullTarget(int range, String source) {}

    /** Values shared by the steps of one tick. */
    private record TickContext(
            ReplicaPlacement placement, Duration now, PullSlots slots, Outbox requests) {}

    AntiEntropy(String self, ReplicaEntries entries, ByteRateLimiter rateLimiter) {
        this.self = self;
        this.entries = entries;
        this.rateLimiter = rateLimiter;
    }

    /** Returns the ranges that this replica is still catching up on. */
    LaggingRanges laggingRanges() {
        return laggingRanges;
    }

    /** Returns the estimated size of all received entries, in bytes. */
    long receivedBytes() {
        return receivedBytes;
    }

    long receivedEntries() {
        return receivedEntries;
    }

    /**
     * Returns whether this replica's copy of a range is complete: the range does not lag, or its
     * catch-up counts the local copy as a complete source.
     */
    boolean isOwnCopyReliable(int range) {
        return laggingRanges.get(range).map(catchUp -> catchUp.isSourceComplete(self)).orElse(true);
    }

    /** Drops all pulls, and marks all sources as not knowing the new epoch. */
    void resetForEpoch() {
        sources.reset();
        pulls.clear();
    }

    /** Ends the catch-up of a range and drops its pulls. */
    void markComplete(int range) {
        laggingRanges.remove(range);
        pulls.keySet().removeIf(target -> target.range == range);
    }

    /**
     * Starts the catch-up of a range; replaces one in progress.
     *
     * @param ownCopyReliable whether this replica's own copy counts as a complete source
     */
    void startCatchUp(int range, RangeCatchUp catchUp, boolean ownCopyReliable) {
        markComplete(range);
        if (ownCopyReliable) {
            catchUp.addCompleteSource(self);
        }
        if (!catchUp.isComplete()) {
            laggingRanges.put(range, catchUp);
        }
    }

    /**
     * Adds a repair pull of a range from a source with {@code sourceEntryCount} entries in it,
     * unless the range lags or this pull exists already.
     */
    void requestRepair(int range, String source, int sourceEntryCount) {
        PullTarget target = new PullTarget(range, source);
        if (!laggingRanges.contains(range)
                && !pulls.containsKey(target)
                && pulls.size() < MAX_PULLS_FOR_REPAIR) {
            pulls.put(target, RangePull.forRepair(range, entries, sourceEntryCount));
        }
    }

    /** Returns the requests that are due. */
    List<OutboundMessage> tick(ReplicaPlacement placement, Duration now) {
        laggingRanges.overdueRanges(now).forEach(this::markComplete);
        pulls.values().removeIf(RangePull::isAbandonedRepair);
        TickContext tick = new TickContext(placement, now, occupiedSlots(now), new Outbox());
        addCatchUpPulls();
        sendDue(false, tick);
        sendDue(true, tick);
        return tick.requests.drain();
    }

    private PullSlots occupiedSlots(Duration now) {
        PullSlots slots = new PullSlots();
        pulls.forEach(
                (target, pull) -> {
                    if (pull.isAwaitingReply(now) && !sources.isUnresponsive(target.source)) {
                        slots.occupy(target.range, pull.isRepair());
                    }
                });
        return slots;
    }

    private void addCatchUpPulls() {
        laggingRanges.forEach(
                (range, catchUp) -> {
                    for (String source : catchUp.sources()) {
                        PullTarget target = new PullTarget(range, source);
                        boolean wanted =
                                !source.equals(self)
                                        && !catchUp.isSourceComplete(source)
                                        && !pulls.containsKey(target);
                        if (wanted && pulls.size() < MAX_PULLS_FOR_CATCH_UP) {
                            pulls.put(target, RangePull.forCatchUp(range, entries));
                        }
                    }
                });
    }

    private void sendDue(boolean repairs, TickContext tick) {
        for (Map.Entry<PullTarget, RangePull> entry : pulls.entrySet()) {
            RangePull pull = entry.getValue();
            if (pull.isRepair() != repairs || pull.isAwaitingReply(tick.now)) {
                continue;
            }
            if (!pull.wasRequested()) {
                // Pull a range from one source at a time, so that entries that several sources have
                // are transferred once.
                if (tick.slots.isBusy(entry.getKey().range)) {
                    continue;
                }
                pull.chooseFirstMethod();
            }
            if (!tick.slots.hasFreeSlot(repairs) || !rateLimiter.hasTokens(tick.now)) {
                break;
            }
            send(entry.getKey(), pull, tick);
        }
    }

    private void send(PullTarget target, RangePull pull, TickContext tick) {
        if (pull.hasTimedOut(tick.now)) {
            pull.recordTimeout();
            sources.recordTimeout(target.source);
        }
        if (!sources.isUnresponsive(target.source)) {
            tick.slots.occupy(target.range, pull.isRepair());
        } else if (!sources.tryProbe(target.source, tick.now)) {
            // An unresponsive source takes no slot, so that it does not delay the others.
            pull.makeDue();
            return;
        }
        tick.requests.send(target.source, nextRequest(target, pull, tick.placement, tick.now));
    }

    private ReplicationMessage.RangeRequest nextRequest(
            PullTarget target, RangePull pull, ReplicaPlacement placement, Duration now) {
        return pull.nextRequest(++lastNonce, placement, sources.knowsEpoch(target.source), now);
    }

    /**
     * Processes a page whose entries have been stored, and returns the next request to its source,
     * if there is one.
     */
    Optional<OutboundMessage> acceptPage(
            String from,
            ReplicationMessage.RangePage page,
            ReplicaPlacement placement,
            Duration now) {
        PullTarget target = new PullTarget(page.range(), from);
        RangePull pull = pulls.get(target);
        if (pull == null || !pull.matchesNonce(page.nonce())) {
            return Optional.empty();
        }
        sources.recordReply(from);
        pull.recordReply();
        countReceived(page);
        if (pull.advance(page)) {
            finish(target, pull, page, now);
            return Optional.empty();
        }
        if (!rateLimiter.hasTokens(now)) {
            pull.makeDue();
            return Optional.empty();
        }
        return Optional.of(new OutboundMessage(from, nextRequest(target, pull, placement, now)));
    }

    private void countReceived(ReplicationMessage.RangePage page) {
        for (ReplicationMessage.TransferredEntry entry : page.entries()) {
            rateLimiter.spend(entry.estimatedBytes());
            receivedBytes += entry.estimatedBytes();
            receivedEntries++;
        }
    }

    private void finish(
            PullTarget target, RangePull pull, ReplicationMessage.RangePage page, Duration now) {
        pulls.remove(target);
        Optional<RangeCatchUp> catchUp = laggingRanges.get(target.range);
        if (catchUp.isEmpty() || pull.isRepair()) {
            return;
        }
        if (!page.sourceComplete()) {
            // The source itself lags: pull from it again after the retry interval.
            RangePull next = RangePull.forCatchUp(target.range, entries);
            next.postpone(now);
            pulls.put(target, next);
            return;
        }
        catchUp.get().addCompleteSource(target.source);
        if (catchUp.get().isComplete()) {
            markComplete(target.range);
        }
    }

    /**
     * Returns the state that determines future behaviour, as text, for state-space exploration:
     * instances with equal texts behave alike.
     */
    String describeState() {
        StringBuilder text = new StringBuilder();
        laggingRanges.forEach(
                (range, catchUp) ->
                        text.append('c').append(range).append(catchUp.completeSources()));
        pulls.forEach(
                (target, pull) -> text.append('p').append(target).append(pull.describeState()));
        return text.append(sources.describeState()).toString();
    }
}
