package ochretiller.fleet.replication;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * Answers requests for entries of a range with pages that fit into one datagram each, at a bounded
 * rate. A request that exceeds the rate is dropped, as if the network had lost it. Not thread-safe;
 * callers pass the time.
 */
final class RangePager {
    /** Maximum estimated size of the entries of a page; a larger single entry is sent alone. */
    static final int MAX_PAGE_BYTES = 5 * 1024;

    /** Maximum number of digests in a page, which list entries that did not fit into it. */
    private static final int MAX_REMAINING_DIGESTS = 200;

    /**
     * Bytes charged to the rate limit for each page in addition to its entries, so that empty pages
     * are not free.
     */
    private static final int PAGE_OVERHEAD_BYTES = SetSketch.CELL_BYTES;

    private final ReplicaState state;
    private final ByteRateLimiter rateLimiter;
    private long sentBytes;

    RangePager(ReplicaState state, ByteRateLimiter rateLimiter) {
        this.state = state;
        this.rateLimiter = rateLimiter;
    }

    /** Returns the estimated size of all sent entries, in bytes. */
    long sentBytes() {
        return sentBytes;
    }

    /**
     * Returns the next page for a request of the current epoch; empty if the rate is exceeded.
     *
     * @param reliableSource whether the receiver may rely on a complete copy of the range here
     */
    Optional<ReplicationMessage.RangePage> page(
            ReplicationMessage.RangeRequest request, boolean reliableSource, Duration now) {
        if (!rateLimiter.hasTokens(now)) {
            return Optional.empty();
        }
        Optional<SetDifference> difference =
                request.sketch().flatMap(sketch -> difference(request.range(), sketch));
        boolean sketchDecoded = request.sketch().isEmpty() || difference.isPresent();
        PageBuilder page = new PageBuilder(request, sketchDecoded);
        for (String token : tokens(request, difference)) {
            ReplicaEntry entry = state.entries().get(token);
            if (entry.expiresAt().compareTo(now) > 0 && !page.add(token, entry, now)) {
                break;
            }
        }
        rateLimiter.spend(page.bytes + PAGE_OVERHEAD_BYTES);
        sentBytes += page.bytes;
        return Optional.of(page.build(reliableSource));
    }

    private Optional<SetDifference> difference(int range, SetSketch remoteSketch) {
        return state.entries().sketch(range, remoteSketch.cells()).subtract(remoteSketch);
    }

    private Iterable<String> tokens(
            ReplicationMessage.RangeRequest request, Optional<SetDifference> difference) {
        ReplicaEntries entries = state.entries();
        int range = request.range();
        if (request.sketch().isPresent()) {
            return difference
                    .map(decoded -> entries.tokensWithDigests(range, decoded.onlyInFirst()))
                    .orElse(List.of());
        }
        if (!request.entryDigests().isEmpty()) {
            return entries.tokensWithDigests(range, Set.copyOf(request.entryDigests()));
        }
        ReplicationMessage.RangeCursor cursor = request.cursor();
        if (request.order() == ReplicationMessage.WalkOrder.LATEST_EXPIRY) {
            return entries.tokensByExpiry(range, cursor.expiresAt(), cursor.token());
        }
        return entries.tokensAfter(range, cursor.token());
    }

    /** Collects the entries of a page. */
    private final class PageBuilder {
        private final ReplicationMessage.RangeRequest request;
        private final boolean sketchDecoded;
        private final List<ReplicationMessage.TransferredEntry> items = new ArrayList<>();
        private final List<Long> remainingDigests = new ArrayList<>();
        private ReplicationMessage.RangeCursor cursor;
        private int bytes;
        private boolean last;

        PageBuilder(ReplicationMessage.RangeRequest request, boolean sketchDecoded) {
            this.request = request;
            this.sketchDecoded = sketchDecoded;
            this.cursor = request.cursor();
            this.last = sketchDecoded;
        }

        /** Adds an entry, or its digest if the page is full; returns whether more may be added. */
        boolean add(String token, ReplicaEntry entry, Duration now) {
            Duration remaining = entry.expiresAt().minus(now);
            ReplicationMessage.TransferredEntry item =
                    new ReplicationMessage.TransferredEntry(
                            token, entry.forTransfer(Duration.ZERO), remaining);
            boolean full = bytes > 0 && bytes + item.estimatedBytes() > MAX_PAGE_BYTES;
            if (!last || full) {
                last = false;
                return addDigest(token);
            }
            items.add(item);
            bytes += item.estimatedBytes();
            cursor = new ReplicationMessage.RangeCursor(entry.expiresAt().toNanos(), token);
            return true;
        }

        private boolean addDigest(String token) {
            // A walk continues from the cursor and needs no digests.
            if (request.isWalk() || remainingDigests.size() == MAX_REMAINING_DIGESTS) {
                return false;
            }
            remainingDigests.add(state.entries().entryDigest(token));
            return true;
        }

        ReplicationMessage.RangePage build(boolean reliableSource) {
            return new ReplicationMessage.RangePage(
                    state.epoch(),
                    request.range(),
                    request.nonce(),
                    items,
                    cursor,
                    last,
                    reliableSource,
                    sketchDecoded,
                    remainingDigests,
                    state.entries().entryCount(request.range()),
                    state.entries().rangeDigest(request.range()));
        }
    }
}
