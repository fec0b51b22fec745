package ochretiller.fleet.membership;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import ochretiller.fleet.membership.MembershipMessage.DigestSync;
import ochretiller.fleet.membership.MembershipMessage.MemberPage;
import ochretiller.fleet.membership.MembershipMessage.MemberRequest;
import ochretiller.fleet.membership.MembershipMessage.UpdatePage;

/**
 * Push-pull anti-entropy between views. Each ping and acknowledgement carries a digest of the
 * sender's view. If digests keep differing, one server sends the digests of its buckets and the
 * other answers with the updates of the buckets that differ; full records of unknown members are
 * then requested separately.
 *
 * <p>Source: anti-entropy by comparison (Demers et al., "Epidemic Algorithms for Replicated
 * Database Maintenance", 1987). It replaces the full state exchange that SWIM implementations
 * usually add.
 */
final class ViewSynchronizer {
    /** Protocol periods for which digests must differ before a comparison starts. */
    private static final int DIFFERENCE_PERIODS = 3;

    /** Minimum protocol periods between two comparisons started because of differing digests. */
    private static final int COMPARISON_PERIODS = 9;

    /** Comparisons answered per second, so that a large fleet cannot overload one server. */
    private static final int MAX_REPLIES_PER_SECOND = 10;

    /** Maximum pages in one answer; enough for a fleet of a thousand members. */
    private static final int MAX_PAGES = 24;

    private static final double NANOS_PER_SECOND = 1e9;

    private final ProtocolContext context;
    private final UpdateMerger merger;
    private final SeedJoiner joiner;
    private Optional<Duration> differentSince = Optional.empty();
    private Duration comparisonPauseStart = Duration.ZERO;
    private double replyTokens = MAX_REPLIES_PER_SECOND;

    ViewSynchronizer(ProtocolContext context, UpdateMerger merger, SeedJoiner joiner) {
        this.context = context;
        this.merger = merger;
        this.joiner = joiner;
    }

    /** Refills the token bucket that limits answers; called once per tick. */
    void refillReplyBudget() {
        double seconds = context.timing().tickInterval().toNanos() / NANOS_PER_SECOND;
        replyTokens =
                Math.min(MAX_REPLIES_PER_SECOND, replyTokens + MAX_REPLIES_PER_SECOND * seconds);
    }

    /** Compares a member's digest with this server's; starts a comparison of views if due. */
    void compareDigest(Member sender, long digest, boolean isTrusted) {
        if (digest == context.digest()) {
            differentSince = Optional.empty();
            return;
        }
        PauseExcludingClock clock = context.clock();
        ProtocolTiming timing = context.timing();
        Duration since = differentSince.orElse(clock.now());
        differentSince = Optional.of(since);
        Duration comparisonPause = timing.probeIntervals(COMPARISON_PERIODS);
        boolean isDue =
                clock.hasElapsed(since, timing.probeIntervals(DIFFERENCE_PERIODS))
                        && clock.hasElapsed(comparisonPauseStart, comparisonPause);
        if (isTrusted && isDue) {
            comparisonPauseStart = clock.now().plus(context.randomFractionOf(comparisonPause));
            startSync(sender);
        }
    }

    /** Starts a comparison of views with a member. */
    void startSync(Member peer) {
        context.counters().increment(MembershipCounter.SYNCS);
        context.send(
                peer.address(),
                new DigestSync(context.table().bucketDigests(context.self()), true));
    }

    /** Answers a comparison started by another member. */
    void answerSync(DigestSync request, Member sender) {
        boolean isWellFormed = request.digests().size() == MembershipMessage.DIGEST_BUCKETS;
        if (replyTokens < 1 || !isWellFormed) {
            context.counters().increment(MembershipCounter.SYNCS_REJECTED);
            return;
        }
        replyTokens--;
        List<Long> own = context.table().bucketDigests(context.self());
        Set<Integer> differing = differingBuckets(own, request.digests());
        sendPages(updatesOf(differing), sender.address());
        if (request.reciprocal() && !differing.isEmpty()) {
            context.send(sender.address(), new DigestSync(own, false));
        }
    }

    private static Set<Integer> differingBuckets(List<Long> own, List<Long> received) {
        Set<Integer> differing = new HashSet<>();
        for (int bucket = 0; bucket < own.size(); bucket++) {
            if (!own.get(bucket).equals(received.get(bucket))) {
                differing.add(bucket);
            }
        }
        return differing;
    }

    private List<MembershipUpdate> updatesOf(Set<Integer> buckets) {
        List<MembershipUpdate> updates = new ArrayList<>();
        if (buckets.contains(MemberTable.bucketOf(context.self().incarnation()))) {
            updates.add(context.self().toUpdate(0));
        }
        for (MemberRecord record : context.table().all()) {
            boolean isIncluded = buckets.contains(MemberTable.bucketOf(record.incarnation()));
            if (isIncluded && !record.isLocalOnly()) {
                updates.add(record.toUpdate());
            }
        }
        return updates;
    }

    /** Sends at least one page; an empty page means that nothing differs. */
    private void sendPages(List<MembershipUpdate> updates, PeerAddress destination) {
        int pageSize = MembershipMessage.MAX_PAGE_UPDATES;
        if (updates.size() > MAX_PAGES * pageSize) {
            // Not all updates fit; a random start varies which of them are sent.
            Collections.rotate(updates, -context.random().nextInt(updates.size()));
        }
        int needed = (updates.size() + pageSize - 1) / pageSize;
        int pages = Math.max(1, Math.min(MAX_PAGES, needed));
        for (int page = 0; page < pages; page++) {
            int from = page * pageSize;
            int to = Math.min(updates.size(), from + pageSize);
            context.send(destination, new UpdatePage(List.copyOf(updates.subList(from, to))));
        }
    }

    /** Merges a page of updates and requests the records of unknown members. */
    void receivePage(UpdatePage page, Member sender, boolean isTrusted) {
        List<Long> unknown = new ArrayList<>();
        for (MembershipUpdate update : page.updates()) {
            long incarnation = update.incarnation();
            if (context.isSelf(incarnation)) {
                merger.refuteIfAccused(update);
            } else if (isTrusted && context.table().contains(incarnation)) {
                merger.merge(update);
            } else if (isTrusted && update.state().isLive()) {
                unknown.add(incarnation);
            }
        }
        if (!unknown.isEmpty()) {
            context.send(sender.address(), new MemberRequest(unknown));
        } else if (isTrusted) {
            joiner.onViewReceived();
        }
    }

    /** Sends the requested records of members that are live. */
    void answerMemberRequest(MemberRequest request, Member sender) {
        List<Member> found = new ArrayList<>();
        for (long incarnation : request.incarnations()) {
            if (context.isSelf(incarnation)) {
                found.add(context.self());
            }
            context.table()
                    .find(incarnation)
                    .filter(MemberRecord::isLive)
                    .ifPresent(record -> found.add(record.member()));
        }
        int pageSize = MembershipMessage.MAX_PAGE_MEMBERS;
        for (int from = 0; from < found.size(); from += pageSize) {
            int to = Math.min(found.size(), from + pageSize);
            context.send(sender.address(), new MemberPage(List.copyOf(found.subList(from, to))));
        }
    }

    /** Merges full records sent by a member that is live in this view. */
    void receiveMembers(MemberPage page) {
        page.members().forEach(member -> merger.merge(member, false));
        joiner.onViewReceived();
    }

    /** Appends the state as text, with times relative to now. */
    void describe(StringBuilder text) {
        PauseExcludingClock clock = context.clock();
        text.append(" c").append(clock.nanosUntil(comparisonPauseStart));
        differentSince.ifPresent(since -> text.append(" f").append(clock.nanosSince(since)));
    }
}
