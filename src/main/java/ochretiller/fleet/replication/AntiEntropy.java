package ochretiller.fleet.replication;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import ochretiller.fleet.consensus.ReplicaPlacement;

/**
 * Pulls from other replicas what this one lacks, range by range: first for lagging ranges, whose
 * votes do not count until enough sources have been heard completely, then, with what is left of
 * the rate, to repair differences that comparisons have found. Anti-entropy in the sense of Demers
 * et al. 1987 ("Epidemic Algorithms for Replicated Database Maintenance"), with set sketches in
 * place of Merkle trees. Not thread-safe; time is handed in.
 */
final class AntiEntropy {
    /** Pulls that wait at most before a repair is left to later comparisons. */
    private static final int MAX_PULLS_FOR_REPAIR = 512;

    /** Pulls that wait at most before a lagging range is left to later ticks. */
    private static final int MAX_PULLS_FOR_CATCH_UP = 2 * MAX_PULLS_FOR_REPAIR;

    private final String self;
    private final ReplicaEntries entries;
    private final ByteRateLimiter rateLimiter;
    private final LaggingRanges lagging = new LaggingRanges();
    private final Map<PullTarget, RangePull> pulls = new LinkedHashMap<>();
    private final PullSources sources = new PullSources();
    private long lastNonce;
    private long receivedBytes;
    private long receivedEntries;

    /** A range, and the replica that it is pulled from. */
    private record PullTarget(int range, String source) {}

    /** What one tick works with. */
    private record Tick(
            ReplicaPlacement placement, Duration now, PullSlots slots, Outbox requests) {}

    AntiEntropy(String self, ReplicaEntries entries, ByteRateLimiter rateLimiter) {
        this.self = self;
        this.entries = entries;
        this.rateLimiter = rateLimiter;
    }

    /** Returns the ranges that this replica does not have completely yet. */
    LaggingRanges lagging() {
        return lagging;
    }

    /** Returns the estimated bytes of entries that were received. */
    long receivedBytes() {
        return receivedBytes;
    }

    long receivedEntries() {
        return receivedEntries;
    }

    /**
     * Returns whether a range is complete, or this replica's copy at least is one of those that
     * will make it so.
     */
    boolean ownCopyCounts(int range) {
        return lagging.get(range).map(catchUp -> catchUp.hasHeard(self)).orElse(true);
    }

    /** Drops all requests: in the new epoch every source has to be told of it. */
    void resetForEpoch() {
        sources.reset();
        pulls.clear();
    }

    /** Ends the catch-up of a range. */
    void markComplete(int range) {
        lagging.remove(range);
        pulls.keySet().removeIf(target -> target.range == range);
    }

    /**
     * Starts the catch-up of a range anew.
     *
     * @param ownCopyCounts whether this replica's own copy is one of the complete sources
     */
    void startCatchUp(int range, RangeCatchUp catchUp, boolean ownCopyCounts) {
        markComplete(range);
        if (ownCopyCounts) {
            catchUp.addCompleteSource(self);
        }
        if (!catchUp.isComplete()) {
            lagging.put(range, catchUp);
        }
    }

    /**
     * Asks for a repair of a range from a source that has so many entries of it, unless it is
     * pulled anyway.
     */
    void requestRepair(int range, String source, int sourceEntryCount) {
        PullTarget target = new PullTarget(range, source);
        if (!lagging.contains(range)
                && !pulls.containsKey(target)
                && pulls.size() < MAX_PULLS_FOR_REPAIR) {
            pulls.put(target, RangePull.forRepair(range, entries, sourceEntryCount));
        }
    }

    /** Returns the requests that are due. */
    List<OutboundMessage> tick(ReplicaPlacement placement, Duration now) {
        lagging.overdue(now).forEach(this::markComplete);
        pulls.values().removeIf(RangePull::isAbandonedRepair);
        Tick tick = new Tick(placement, now, outstanding(now), new Outbox());
        addCatchUpPulls();
        sendDue(false, tick);
        sendDue(true, tick);
        return tick.requests.drain();
    }

    private PullSlots outstanding(Duration now) {
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
        lagging.forEach(
                (range, catchUp) -> {
                    for (String source : catchUp.sources()) {
                        PullTarget target = new PullTarget(range, source);
                        boolean wanted =
                                !source.equals(self)
                                        && !catchUp.hasHeard(source)
                                        && !pulls.containsKey(target);
                        if (wanted && pulls.size() < MAX_PULLS_FOR_CATCH_UP) {
                            pulls.put(target, RangePull.forCatchUp(range, entries));
                        }
                    }
                });
    }

    private void sendDue(boolean repairs, Tick tick) {
        for (Map.Entry<PullTarget, RangePull> each : pulls.entrySet()) {
            RangePull pull = each.getValue();
            if (pull.isRepair() != repairs || pull.isAwaitingReply(tick.now)) {
                continue;
            }
            if (!pull.wasRequested()) {
                // One source of a range at a time, so that what two sources have is transferred
                // once.
                if (tick.slots.isBusy(each.getKey().range)) {
                    continue;
                }
                pull.chooseFirstMethod();
            }
            if (!tick.slots.hasRoom(repairs) || !rateLimiter.hasTokens(tick.now)) {
                break;
            }
            send(each.getKey(), pull, tick);
        }
    }

    private void send(PullTarget target, RangePull pull, Tick tick) {
        if (pull.hasTimedOut(tick.now)) {
            pull.recordTimeout();
            sources.recordTimeout(target.source);
        }
        if (!sources.isUnresponsive(target.source)) {
            tick.slots.occupy(target.range, pull.isRepair());
        } else if (!sources.tryProbe(target.source, tick.now)) {
            // An unresponsive source takes no slot, so that it does not keep the others waiting.
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
     * Takes a page whose entries are stored already, and returns what to ask the same source next,
     * if anything.
     */
    Optional<OutboundMessage> acceptPage(
            String from,
            ReplicationMessage.RangePage page,
            ReplicaPlacement placement,
            Duration now) {
        PullTarget target = new PullTarget(page.range(), from);
        RangePull pull = pulls.get(target);
        if (pull == null || !pull.expects(page.nonce())) {
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
        Optional<RangeCatchUp> catchUp = lagging.get(target.range);
        if (catchUp.isEmpty() || pull.isRepair()) {
            return;
        }
        if (!page.sourceComplete()) {
            // The source lags itself, and is asked again after a while.
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
     * Returns what decides the next steps, as text: equal texts behave alike. For state-space
     * exploration.
     */
    String describeState() {
        StringBuilder text = new StringBuilder();
        lagging.forEach(
                (range, catchUp) ->
                        text.append('c').append(range).append(catchUp.completeSources()));
        pulls.forEach(
                (target, pull) -> text.append('p').append(target).append(pull.describeState()));
        return text.append(sources.describeState()).toString();
    }
}
