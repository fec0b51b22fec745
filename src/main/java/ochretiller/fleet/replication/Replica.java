package ochretiller.fleet.replication;

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
import ochretiller.fleet.consensus.ReplicaPlacement;

/**
 * What one server keeps for all. It answers for its present epoch only, first come first granted,
 * and has each word on disk before it leaves. A range whose keepers have changed, or whose disk was
 * lost, has to be whole before it counts: fetched from as many of those that kept it before as any
 * majority must have met. A keeper that was merely away needs nothing to count: it knows what it
 * granted, once the others have told it that they know of no later word of its own.
 */
public final class Replica {
    /** Bytes of a page, which goes in one datagram. */
    static final int MAX_PAGE_BYTES = 5 * 1024;

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
    private final ReplicaLimits bounds;
    private final ReplicaEntries stock = new ReplicaEntries();
    private final ByteRateLimiter sends;
    private final AntiEntropy pulls;
    private final ChunkAssembler pieces = new ChunkAssembler();
    private ReplicaPlacement placement;

    /**
     * Ranges that it kept in the epoch before and did not have whole then: it is no source for
     * them.
     */
    private final Set<Integer> lost = new HashSet<>();

    private long changeNumber;
    private boolean changed;

    /** Not null while it has come back with a disk that may be older than its last word. */
    private DiskCheck checkingDisk;

    private final Map<String, BitSet> away = new TreeMap<>();
    private final Map<String, BitSet> hintCount = new TreeMap<>();
    private final List<OutboundMessage> takeOutbound = new ArrayList<>();
    private final List<ChunkAssembler.AssembledResult> takeAssembledResults = new ArrayList<>();
    private long sentBytes;
    private long comparisons;
    private long differences;
    private long staleDisks;

    /** A message to a server by its name. */
    public record OutboundMessage(String recipient, ReplicationMessage message) {}

    /**
     * What a keeper may take.
     *
     * @param maxEntries entries
     * @param maxBytes of them, as reckoned
     * @param bytesPerSecond bytes a second that go out for others' catching up, and as many that
     *     come in for its own
     * @param maxWindow the longest window: behind it nothing that was forgotten can matter
     */
    public record ReplicaLimits(
            int maxEntries, long maxBytes, double bytesPerSecond, Duration maxWindow) {}

    /** What it asks of the others behind a start with a disk. */
    private static final class DiskCheck {
        final Duration began;
        final long nonce;
        final Map<String, Long> told = new HashMap<>();
        Duration asked;

        DiskCheck(Duration began, long nonce) {
            this.began = began;
            this.nonce = nonce;
        }
    }

    /**
     * A keeper's disk: what it was in and what it had.
     *
     * @param laggingRanges ranges that it had not whole
     * @param forgottenRanges those among them that it kept, and may have forgotten what it granted
     *     in
     * @param unreliableRanges ranges that it is no source for
     * @param changeNumber of its last change that is there
     * @param mayBeStale whether it may be older than what was said: the others are asked first
     */
    public record ReplicaSnapshot(
            ReplicaPlacement placement,
            Map<String, ReplicaEntry> entries,
            Set<Integer> laggingRanges,
            Set<Integer> forgottenRanges,
            Set<Integer> unreliableRanges,
            long changeNumber,
            boolean mayBeStale) {
        /** One that is known to be as new as its last word, with nothing behind. */
        public ReplicaSnapshot(ReplicaPlacement layout, Map<String, ReplicaEntry> entries) {
            this(layout, entries, Set.of(), Set.of(), Set.of(), 0, false);
        }
    }

    public Replica(
            String name,
            ReplicaSnapshot disk,
            ReplicaPlacement layout,
            int most,
            Duration longest,
            Duration now) {
        this(name, disk, layout, new ReplicaLimits(most, Long.MAX_VALUE, 8 << 20, longest), 0, now);
    }

    /**
     * @param disk what was on its disk, or null where that is lost
     * @param layout the epoch that it knows of, where the disk is lost
     * @param first a number over all that it may have told before it lost its disk, or 0 where
     *     nobody asks
     */
    public Replica(
            String name,
            ReplicaSnapshot disk,
            ReplicaPlacement layout,
            ReplicaLimits bounds,
            long first,
            Duration now) {
        this.name = name;
        this.bounds = bounds;
        this.sends = new ByteRateLimiter(bounds.bytesPerSecond, BURST, now);
        this.pulls =
                new AntiEntropy(
                        name, stock, new ByteRateLimiter(bounds.bytesPerSecond, BURST, now));
        if (disk == null) {
            this.placement = layout;
            this.changeNumber = first;
            forgotten(now);
        } else {
            this.placement = disk.placement;
            this.changeNumber = disk.changeNumber;
            disk.entries.forEach((token, entry) -> stock.put(token, entry, 0));
            stock.takeChangedTokens(); // they are on the disk
            lost.addAll(disk.unreliableRanges);
            for (int range : disk.laggingRanges) {
                if (disk.forgottenRanges.contains(range)) {
                    forgotten(range, now);
                } else {
                    catchUp(range, false, now);
                }
            }
            if (disk.mayBeStale) {
                checkingDisk = new DiskCheck(now, changeNumber);
            }
        }
    }

    private void forgotten(Duration now) {
        for (int range = 0; range < ReplicaPlacement.RANGE_COUNT; range++) {
            forgotten(range, now);
        }
    }

    /**
     * Whatever it may have granted, the others of a range have to be heard, all but itself: with
     * them any majority is met.
     */
    private void forgotten(int range, Duration now) {
        changed = true;
        if (placement.previousReplicasOf(range).contains(name)) {
            lost.add(range);
        }
        List<String> others = new ArrayList<>(placement.replicasOf(range));
        if (others.remove(name) && !others.isEmpty()) {
            pulls.catchUp(
                    range, others, others.size(), false, true, now, now.plus(bounds.maxWindow));
        }
    }

    /**
     * What has to be on disk, beside the entries that change, before {@link #takeOutbound} leave.
     */
    public ReplicaSnapshot metadataSnapshot() {
        return new ReplicaSnapshot(
                placement,
                Map.of(),
                pulls.rangesBehind(),
                pulls.rangesForgotten(),
                Set.copyOf(lost),
                changeNumber,
                true);
    }

    /**
     * Tokens that have changed since this was asked last, and whether anything else has: those go
     * to disk before {@link #takeOutbound}.
     */
    public List<String> takeChangedTokens() {
        return stock.takeChangedTokens();
    }

    /** Whether epoch, ranges or number have changed since this was asked last. */
    public boolean takeMetadataChanged() {
        boolean was = changed;
        changed = false;
        return was;
    }

    public List<OutboundMessage> takeOutbound() {
        List<OutboundMessage> all = List.copyOf(takeOutbound);
        takeOutbound.clear();
        return all;
    }

    /**
     * Long results that have come whole since this was asked last: once they are kept, {@link
     * #resultStored} is to be said.
     */
    public List<ChunkAssembler.AssembledResult> takeAssembledResults() {
        List<ChunkAssembler.AssembledResult> all = List.copyOf(takeAssembledResults);
        takeAssembledResults.clear();
        return all;
    }

    public ReplicaPlacement placement() {
        return placement;
    }

    /** Ranges that it keeps and does not have whole. */
    public int laggingRangeCount() {
        return pulls.behind();
    }

    /** Whether it waits to hear whether its disk is as new as its last word. */
    public boolean isCheckingDisk() {
        return checkingDisk != null;
    }

    public int entryCount() {
        return stock.size();
    }

    public long estimatedBytes() {
        return stock.estimatedBytes();
    }

    /** Tokens with two ends. */
    public long conflictCount() {
        return stock.conflictCount();
    }

    /** The number of its last change. */
    public long changeNumber() {
        return changeNumber;
    }

    /** Ranges that have changed while a keeper of them was away, over all that are. */
    public int hintCount() {
        return hintCount.values().stream().mapToInt(BitSet::cardinality).sum()
                + away.values().stream().mapToInt(BitSet::cardinality).sum();
    }

    public Duration oldestLag(Duration now) {
        return pulls.oldest(now);
    }

    /** Bytes of entries fetched, and sent to others who fetched them. */
    public long fetchedBytes() {
        return pulls.bytes();
    }

    public long fetchedEntries() {
        return pulls.fetched();
    }

    public long sentBytes() {
        return sentBytes;
    }

    /** Comparisons with other keepers, and those that found a difference. */
    public long comparisons() {
        return comparisons;
    }

    public long differences() {
        return differences;
    }

    /** Times that its disk was found to be older than its word. */
    public long staleDisks() {
        return staleDisks;
    }

    /** What it has of a token; {@link ReplicaEntry#NOTHING} where it has nothing. */
    public ReplicaEntry entry(String token) {
        return stock.get(token);
    }

    /** Ranges of its own with what it has of each, for a comparison by hand. */
    public long rangeDigest(int range) {
        return stock.rangeDigest(range);
    }

    public int entryCount(int range) {
        return stock.entryCount(range);
    }

    public boolean isLagging(int range) {
        return pulls.behind(range);
    }

    /** One token as it is listed: a mark of what is known of it, and a word on how far it is. */
    public record TokenSummary(String token, long digest, String status) {}

    public List<TokenSummary> listTokens(int range, int most) {
        return stock.summarize(range, most);
    }

    /** The number of the last change of a token. */
    public long changeNumber(String token) {
        return stock.changeNumber(token);
    }

    /**
     * What was kept before and may lack something: each of it is true, and none of it makes a range
     * whole.
     */
    public void restore(String token, ReplicaEntry entry) {
        if (entry.expiresAt().compareTo(Duration.ZERO) > 0) {
            put(token, entry(token).merge(entry));
        }
    }

    /** Tokens that came to have two ends since this was asked last, some of them. */
    public List<String> takeConflictingTokens() {
        return stock.takeConflictingTokens();
    }

    private void put(String token, ReplicaEntry entry) {
        if (!stock.put(token, entry, changeNumber + 1)) {
            return;
        }
        changeNumber++;
        if (away.isEmpty()) {
            return;
        }
        int range = ReplicaPlacement.rangeOf(token);
        for (String keeper : placement.replicasOf(range)) {
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
    public void observeLivePeers(Set<String> live) {
        for (ReplicaPlacement.ReplicaServer each : placement.servers()) {
            String other = each.name();
            if (other.equals(name)) {
                continue;
            }
            if (!live.contains(other)) {
                if (away.size() < MOST_AWAY && !away.containsKey(other)) {
                    away.put(other, hintCount.getOrDefault(other, new BitSet()));
                }
                hintCount.remove(other);
            } else if (away.containsKey(other)) {
                BitSet missed = away.remove(other);
                if (!missed.isEmpty()) {
                    hintCount.put(other, missed);
                }
            }
        }
        away.keySet().removeIf(each -> !placement.contains(each));
        hintCount.keySet().removeIf(each -> !placement.contains(each));
    }

    /** A later epoch is agreed on: from here on it answers for no older one. */
    public void adoptPlacement(ReplicaPlacement next, Duration now) {
        if (next.epoch() <= placement.epoch()) {
            return;
        }
        boolean following = next.epoch() == placement.epoch() + 1;
        placement = next;
        changed = true;
        lost.clear();
        Set<Integer> whereBehind = pulls.rangesBehind();
        pulls.epoch();
        for (int range = 0; range < ReplicaPlacement.RANGE_COUNT; range++) {
            List<String> mine = next.replicasOf(range);
            List<String> old = next.previousReplicasOf(range);
            // One that has yet to hear whether its disk is old may have forgotten what it granted.
            boolean had =
                    old.contains(name)
                            && following
                            && !whereBehind.contains(range)
                            && checkingDisk == null;
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
        List<String> old = placement.previousReplicasOf(range);
        pulls.catchUp(
                range,
                old,
                ReplicaPlacement.quorumSize(old.size()),
                had,
                false,
                now,
                now.plus(bounds.maxWindow));
        changed = true;
    }

    /**
     * Whether others may count on it for all that it had of a range, in this epoch or the one
     * before.
     */
    private boolean source(int range) {
        if (lost.contains(range) || checkingDisk != null) {
            return false;
        }
        Boolean own = pulls.ownCounts(range);
        if (own != null) {
            return own;
        }
        return placement.replicasOf(range).contains(name)
                || placement.previousReplicasOf(range).contains(name);
    }

    /** Fetches what is missing, in its turn; forgets what is past its window. */
    public void tick(Duration now) {
        if (checkingDisk != null) {
            cameBack(now);
        }
        int before = pulls.behind();
        takeOutbound.addAll(pulls.tick(placement, now));
        if (pulls.behind() != before) {
            changed = true;
        }
        takeOutbound.addAll(pieces.tick(now));
        hinted();
        stock.removeExpired(now);
    }

    private void hinted() {
        int left = HINTS;
        for (Map.Entry<String, BitSet> each : hintCount.entrySet()) {
            BitSet missed = each.getValue();
            for (int range = missed.nextSetBit(0);
                    range >= 0 && left > 0;
                    range = missed.nextSetBit(range + 1)) {
                missed.clear(range);
                if (!placement.replicasOf(range).contains(each.getKey())) {
                    continue;
                }
                takeOutbound.add(
                        new OutboundMessage(
                                each.getKey(),
                                new ReplicationMessage.RangeDigest(
                                        placement.epoch(),
                                        range,
                                        stock.rangeDigest(range),
                                        stock.entryCount(range),
                                        false)));
                left--;
            }
        }
        hintCount.values().removeIf(BitSet::isEmpty);
    }

    // ---- a disk that may be old

    private void cameBack(Duration now) {
        Set<String> others = new HashSet<>();
        for (ReplicaPlacement.ReplicaServer each : placement.servers()) {
            if (!each.name().equals(name)) {
                others.add(each.name());
            }
        }
        long highest =
                checkingDisk.told.values().stream().mapToLong(Long::longValue).max().orElse(0);
        if (highest > changeNumber) {
            // Guards against an old image of a disk: what was said since is forgotten here, and as
            // good as a lost disk.
            staleDisks++;
            changeNumber = highest + 1;
            checkingDisk = null;
            forgotten(now);
            return;
        }
        Duration waited = now.minus(checkingDisk.began);
        Set<String> untold = new HashSet<>(others);
        untold.removeAll(checkingDisk.told.keySet());
        // Whom this server does not see need not be waited for, once most others have spoken.
        boolean rest =
                checkingDisk.told.size() >= ReplicaPlacement.quorumSize(others.size())
                        && away.keySet().containsAll(untold);
        boolean enough =
                untold.isEmpty()
                        || rest
                        || !checkingDisk.told.isEmpty() && waited.compareTo(WAITS_FOR_ALL) >= 0;
        if (enough || waited.compareTo(WAITS_FOR_ANY) >= 0) {
            checkingDisk = null;
            changed = true;
            return;
        }
        if (checkingDisk.asked != null && now.minus(checkingDisk.asked).compareTo(ASKS) < 0) {
            return;
        }
        checkingDisk.asked = now;
        for (String other : others) {
            if (!checkingDisk.told.containsKey(other)) {
                takeOutbound.add(
                        new OutboundMessage(
                                other,
                                new ReplicationMessage.ChangeNumberQuery(checkingDisk.nonce)));
            }
        }
    }

    // ---- what others say

    public void receive(String from, ReplicationMessage message, Duration now) {
        if (message instanceof ReplicationMessage.ClaimRequest claim) {
            claimed(from, claim, now);
        } else if (message instanceof ReplicationMessage.ClaimQuery look) {
            looked(from, look);
        } else if (message instanceof ReplicationMessage.ClaimCompleted ended) {
            ended(from, ended, now);
        } else if (message instanceof ReplicationMessage.ClaimRelease release) {
            released(release, now);
        } else if (message instanceof ReplicationMessage.RangeRequest fetch) {
            fetchedEntries(from, fetch, now);
        } else if (message instanceof ReplicationMessage.RangePage page) {
            page(from, page, now);
        } else if (message instanceof ReplicationMessage.RangeDigest compare) {
            compared(from, compare);
        } else if (message instanceof ReplicationMessage.ChangeNumberReply told) {
            recollected(from, told, now);
        } else if (message instanceof ReplicationMessage.Chunk piece) {
            pieces.accept(piece).ifPresent(takeAssembledResults::add);
            takeOutbound.addAll(pieces.tick(now));
        }
    }

    private void recollected(String from, ReplicationMessage.ChangeNumberReply told, Duration now) {
        if (checkingDisk == null || told.nonce() != checkingDisk.nonce) {
            return;
        }
        checkingDisk.told.put(from, told.changeNumber());
        cameBack(now);
    }

    /**
     * The end of a window, of which a peer says that so much is left: no more than the longest that
     * there is.
     */
    private Duration until(Duration left, Duration now) {
        return now.plus(left.compareTo(bounds.maxWindow) < 0 ? left : bounds.maxWindow);
    }

    private boolean keeps(String token) {
        return placement.replicasOf(ReplicaPlacement.rangeOf(token)).contains(name);
    }

    private boolean room(ReplicaEntry entry) {
        return (entry != ReplicaEntry.EMPTY || stock.size() < bounds.maxEntries)
                && stock.estimatedBytes() < bounds.maxBytes - bounds.maxBytes / RESERVE_PART;
    }

    private void claimed(String from, ReplicationMessage.ClaimRequest claim, Duration now) {
        ReplicaEntry entry = entry(claim.token());
        ReplicationMessage.ClaimVote word =
                word(entry, claim.token(), claim.claimId(), claim.epoch());
        if (word == ReplicationMessage.ClaimVote.UNCLAIMED) {
            boolean known = entry.claims().containsKey(claim.claimId());
            boolean room = known || !entry.isFull() && room(entry);
            word =
                    room
                            ? ReplicationMessage.ClaimVote.GRANTED
                            : ReplicationMessage.ClaimVote.OVER_CAPACITY;
            // One that is said again came later than the first, whose window was long enough.
            if (room && !known) {
                put(
                        claim.token(),
                        entry.withClaim(
                                claim.claimId(),
                                claim.fingerprint(),
                                until(claim.remaining(), now)));
            }
        }
        answer(from, entry, claim.token(), claim.claimId(), word);
    }

    private void looked(String from, ReplicationMessage.ClaimQuery look) {
        ReplicaEntry entry = entry(look.token());
        answer(
                from,
                entry,
                look.token(),
                look.claimId(),
                word(entry, look.token(), look.claimId(), look.epoch()));
    }

    private void answer(
            String to,
            ReplicaEntry entry,
            String token,
            ClaimId id,
            ReplicationMessage.ClaimVote word) {
        takeOutbound.add(
                new OutboundMessage(
                        to,
                        new ReplicationMessage.ClaimReply(
                                placement.epoch(),
                                token,
                                id,
                                word,
                                entry.withOutcome().or(() -> entry.competingClaim(id)),
                                entry.canonicalOutcome(),
                                changeNumber)));
    }

    private ReplicationMessage.ClaimVote word(
            ReplicaEntry entry, String token, ClaimId id, long epoch) {
        // An end is true whatever the epoch; all else is answered for the present one only.
        if (entry.canonicalOutcome().isPresent()) {
            return ReplicationMessage.ClaimVote.COMPLETED;
        }
        if (epoch < placement.epoch()) {
            return ReplicationMessage.ClaimVote.STALE_EPOCH;
        }
        if (epoch > placement.epoch()
                || checkingDisk != null
                || !keeps(token)
                || pulls.behind(ReplicaPlacement.rangeOf(token))) {
            return ReplicationMessage.ClaimVote.LAGGING;
        }
        if (entry.releasedClaims().contains(id)) {
            return ReplicationMessage.ClaimVote.RELEASED;
        }
        return entry.competingClaim(id).isPresent()
                ? ReplicationMessage.ClaimVote.HELD
                : ReplicationMessage.ClaimVote.UNCLAIMED;
    }

    private void ended(String from, ReplicationMessage.ClaimCompleted ended, Duration now) {
        ReplicaEntry entry = entry(ended.token());
        if (!entry.outcomes().containsKey(ended.claimId())) {
            put(
                    ended.token(),
                    entry.withOutcome(
                            ended.claimId(),
                            ended.outcome().forTransfer(),
                            until(ended.remaining(), now)));
        }
        ClaimOutcome kept = entry(ended.token()).outcomes().get(ended.claimId());
        if (!kept.resultPresent()) {
            // It counts once the result is here, too.
            pieces.request(ended.token(), ended.claimId(), kept, from, ended.epoch(), now);
            takeOutbound.addAll(pieces.tick(now));
            return;
        }
        kept(from, ended.epoch(), ended.token(), ended.claimId());
    }

    private void kept(String to, long epoch, String token, ClaimId id) {
        if (epoch != placement.epoch()
                || checkingDisk != null
                || !keeps(token)
                || pulls.behind(ReplicaPlacement.rangeOf(token))) {
            return;
        }
        takeOutbound.add(
                new OutboundMessage(
                        to,
                        new ReplicationMessage.OutcomeStored(
                                placement.epoch(), token, id, changeNumber)));
    }

    /** A long result is kept here now, and will be as long as its entry. */
    public void resultStored(ChunkAssembler.AssembledResult whole) {
        ReplicaEntry entry = entry(whole.token());
        ClaimOutcome outcome = entry.outcomes().get(whole.claimId());
        if (outcome == null) {
            return; // past its window meanwhile
        }
        put(
                whole.token(),
                entry.merge(
                        new ReplicaEntry(
                                Map.of(),
                                Set.of(),
                                Map.of(whole.claimId(), outcome.withResultPresent(true)),
                                entry.expiresAt())));
        kept(whole.source(), whole.epoch(), whole.token(), whole.claimId());
    }

    private void released(ReplicationMessage.ClaimRelease release, Duration now) {
        ReplicaEntry entry = entry(release.token());
        if (entry.releasedClaims().contains(release.claimId())
                || entry.releasedClaims().size() >= ReplicaEntry.MAX_CLAIMS
                || entry == ReplicaEntry.EMPTY && !room(entry)) {
            return;
        }
        // Where nothing is known of it the claim may still come, late: then it finds itself
        // released.
        put(release.token(), entry.withRelease(release.claimId(), until(release.remaining(), now)));
    }

    // ---- copies

    private void fetchedEntries(String from, ReplicationMessage.RangeRequest fetch, Duration now) {
        if (fetch.placement() != null) {
            adoptPlacement(fetch.placement(), now);
        }
        if (fetch.epoch() != placement.epoch() || !sends.hasTokens(now)) {
            return;
        }
        int range = fetch.range();
        Optional<SetSketch.SetDifference> difference = Optional.empty();
        Iterable<String> tokens = List.of();
        if (fetch.sketch() != null) {
            difference = stock.sketch(range, fetch.sketch().cells()).subtract(fetch.sketch());
            if (difference.isPresent()) {
                tokens = stock.tokensWithDigests(range, difference.get().onlyHere());
            }
        } else if (!fetch.entryDigests().isEmpty()) {
            tokens = stock.tokensWithDigests(range, Set.copyOf(fetch.entryDigests()));
        } else if (fetch.order() == ReplicationMessage.WalkOrder.LATEST_EXPIRY) {
            Duration until =
                    fetch.cursor().expiresAtNanos() == Long.MAX_VALUE
                            ? Duration.ofSeconds(Long.MAX_VALUE)
                            : Duration.ofNanos(fetch.cursor().expiresAtNanos());
            tokens = stock.tokensByExpiry(range, until, fetch.cursor().token());
        } else {
            tokens = stock.tokensAfter(range, fetch.cursor().token());
        }
        boolean told = fetch.sketch() == null || difference.isPresent();
        List<ReplicationMessage.TransferredEntry> items = new ArrayList<>();
        List<Long> rest = new ArrayList<>();
        int bytes = 0;
        boolean last = told;
        ReplicationMessage.RangeCursor place = fetch.cursor();
        for (String token : tokens) {
            ReplicaEntry entry = entry(token);
            if (entry.expiresAt().compareTo(now) <= 0) {
                continue;
            }
            ReplicationMessage.TransferredEntry item =
                    new ReplicationMessage.TransferredEntry(
                            token, entry.forTransfer(Duration.ZERO), entry.expiresAt().minus(now));
            if (!last || bytes > 0 && bytes + item.estimatedBytes() > MAX_PAGE_BYTES) {
                last = false;
                boolean walk = fetch.sketch() == null && fetch.entryDigests().isEmpty();
                if (walk || rest.size() == REST) {
                    break;
                }
                rest.add(stock.entryDigest(token));
                continue;
            }
            items.add(item);
            bytes += item.estimatedBytes();
            place = new ReplicationMessage.RangeCursor(entry.expiresAt().toNanos(), token);
        }
        sends.spend(bytes + SetSketch.CELL_BYTES);
        sentBytes += bytes;
        takeOutbound.add(
                new OutboundMessage(
                        from,
                        new ReplicationMessage.RangePage(
                                placement.epoch(),
                                range,
                                fetch.nonce(),
                                items,
                                place,
                                last,
                                source(range),
                                told,
                                rest,
                                stock.entryCount(range),
                                stock.rangeDigest(range))));
    }

    private void page(String from, ReplicationMessage.RangePage page, Duration now) {
        if (page.epoch() != placement.epoch()) {
            return;
        }
        for (ReplicationMessage.TransferredEntry item : page.entries()) {
            take(from, item, now);
        }
        int before = pulls.behind();
        pulls.page(from, page, placement, now).ifPresent(takeOutbound::add);
        // The next range at once: each that waits for the host's beat is one that nobody can claim
        // in meanwhile.
        if (pulls.behind() > 0) {
            takeOutbound.addAll(pulls.tick(placement, now));
        }
        if (pulls.behind() != before) {
            changed = true;
        }
    }

    /** A copy that was under way for as long as its window brings nothing back to life. */
    private void take(String from, ReplicationMessage.TransferredEntry item, Duration now) {
        if (item.remaining().isNegative() || item.remaining().isZero()) {
            return;
        }
        ReplicaEntry mine = entry(item.token());
        if (mine == ReplicaEntry.EMPTY && stock.size() >= bounds.maxEntries) {
            return;
        }
        Duration until = until(item.remaining(), now);
        ReplicaEntry told =
                new ReplicaEntry(
                        item.entry().claims(),
                        item.entry().releasedClaims(),
                        item.entry().outcomes(),
                        until);
        ReplicaEntry joined = mine.merge(told);
        boolean more =
                !joined.claims().equals(mine.claims())
                        || !joined.releasedClaims().equals(mine.releasedClaims())
                        || !joined.outcomes().equals(mine.outcomes());
        if (more) {
            put(item.token(), joined);
        }
        entry(item.token())
                .outcomes()
                .forEach(
                        (id, outcome) -> {
                            if (!outcome.resultPresent()) {
                                pieces.request(
                                        item.token(), id, outcome, from, placement.epoch(), now);
                            }
                        });
    }

    /**
     * Compares one of its ranges with another keeper of it: all the time, at a rate that does not
     * depend on what differs.
     */
    public void compareRandomRange(RandomGenerator chance) {
        int range = chance.nextInt(ReplicaPlacement.RANGE_COUNT);
        List<String> others = new ArrayList<>(placement.replicasOf(range));
        if (!others.remove(name) || others.isEmpty()) {
            return;
        }
        comparisons++;
        takeOutbound.add(
                new OutboundMessage(
                        others.get(chance.nextInt(others.size())),
                        new ReplicationMessage.RangeDigest(
                                placement.epoch(),
                                range,
                                stock.rangeDigest(range),
                                stock.entryCount(range),
                                false)));
    }

    private void compared(String from, ReplicationMessage.RangeDigest compare) {
        if (compare.epoch() != placement.epoch()
                || stock.rangeDigest(compare.range()) == compare.digest()) {
            return;
        }
        List<String> keepers = placement.replicasOf(compare.range());
        if (!keepers.contains(name) || !keepers.contains(from)) {
            return;
        }
        differences++;
        pulls.repair(compare.range(), from, compare.entryCount());
        if (!compare.reply()) {
            takeOutbound.add(
                    new OutboundMessage(
                            from,
                            new ReplicationMessage.RangeDigest(
                                    placement.epoch(),
                                    compare.range(),
                                    stock.rangeDigest(compare.range()),
                                    stock.entryCount(compare.range()),
                                    true)));
        }
    }

    /**
     * Compares all of its ranges with all other keepers of them, as an operator asks for; tells how
     * many.
     */
    public int compareAllRanges() {
        int asked = 0;
        for (int range = 0; range < ReplicaPlacement.RANGE_COUNT; range++) {
            List<String> keepers = placement.replicasOf(range);
            if (!keepers.contains(name)) {
                continue;
            }
            for (String other : keepers) {
                if (other.equals(name)) {
                    continue;
                }
                hintCount.computeIfAbsent(other, ignored -> new BitSet()).set(range);
                asked++;
            }
        }
        return asked;
    }

    /** All that decides what it does next, as text; times are told from now on. */
    public String describeState(Duration now) {
        StringBuilder text =
                new StringBuilder()
                        .append(placement.epoch())
                        .append(lost)
                        .append(changeNumber)
                        .append(checkingDisk == null ? "" : checkingDisk.told);
        stock.all()
                .forEach(
                        (token, entry) ->
                                text.append(token)
                                        .append(entry.claims())
                                        .append(entry.releasedClaims())
                                        .append(entry.outcomes())
                                        .append(entry.expiresAt().minus(now)));
        return text.append(pulls.state()).append(pieces.describeState()).toString();
    }
}
