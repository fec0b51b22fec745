package ochretiller.fleet.replication;

import static ochretiller.time.Durations.min;
import static ochretiller.time.Durations.timeUntil;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import ochretiller.collections.BoundedMap;
import ochretiller.fleet.consensus.ReplicaPlacement;
import ochretiller.fleet.consensus.ReplicaServer;

/**
 * The way of a server's keyed invocations through the keepers: claimed at a majority before the
 * run, kept at a majority before the answer. What silence leaves open stays open: a claim that may
 * have been granted is released by its owner's word, and never run afterwards.
 */
public final class ClaimCoordinator {
    /**
     * A question is said again after this, and a claim without a majority by then is given up: some
     * dozen round trips.
     */
    private static final Duration AGAIN = Duration.ofMillis(60);

    private static final Duration GIVES_UP = Duration.ofMillis(400);

    /**
     * Between two looks at what another has claimed: doubled from the first to the last, moved by
     * chance.
     */
    private static final Duration LOOK_FIRST = Duration.ofMillis(40);

    private static final Duration LOOK_MOST = Duration.ofMillis(640);

    /** Tries that wait for a verdict, those that look after another's claim among them. */
    private static final int MOST = 10_000;

    /** Own claims that are remembered as released, to say so when asked. */
    private static final int REMEMBERED = 20_000;

    /**
     * Questions said again, and keepers asked beyond a majority, for each claim; and how many are
     * saved up.
     */
    private static final double AGAIN_SHARE = 1.0;

    private static final double AGAIN_BURST = 256;

    /**
     * Times that an end is said again behind its majority: the keepers bring it to the rest
     * themselves.
     */
    private static final int LATER = 3;

    /** Keepers whose numbers are remembered. */
    private static final int MOST_HEARD = 4_096;

    /** Characters of long results that this server holds for keepers that fetch them. */
    private static final long MOST_RESULTS = 8L << 20;

    private final String name;
    private final long start;
    private final RandomGenerator chance;
    private final ClaimConcurrencyLimit concurrencyLimit = new ClaimConcurrencyLimit();
    private final ReplicaLatency pace = new ReplicaLatency();
    private final ByteRateLimiter again = new ByteRateLimiter(0, AGAIN_BURST, Duration.ZERO);
    private final ChunkAssembler pieces = new ChunkAssembler();

    /** What each keeper has told of its changes: one that comes back with less has an old disk. */
    private final Map<String, Long> observedChangeNumbers = new HashMap<>();

    private final Map<ClaimId, Attempt> attempts = new LinkedHashMap<>();
    private final Map<ClaimId, Ending> endings = new LinkedHashMap<>();
    private final Map<ClaimId, Running> running = new LinkedHashMap<>();
    private final Map<ClaimId, Duration> releasedIds = BoundedMap.evictingOldest(REMEMBERED);
    private final List<Replica.OutboundMessage> takeOutbound = new ArrayList<>();
    private ReplicaPlacement placement;
    private long runs;
    private long results;
    private long hedgedRequests;
    private long retriedRequests;

    /** A claim that was granted, and the changes of its keepers that it rests on. */
    private record Running(String token, Map<String, Long> heard) {}

    /** One keyed try on its way to a verdict. */
    private static final class Attempt {
        final String token;
        final String body;
        final boolean leaves;
        final Duration due;
        final Duration windowEnds;
        final Consumer<ClaimDecision> then;
        ClaimId id;
        boolean claims = true;
        Duration began;
        Duration said;
        Duration nextLook;
        Duration pause = LOOK_FIRST;
        final Map<String, ReplicationMessage.ClaimReply> answers = new TreeMap<>();

        /** Those who are asked, the first of which were asked at first. */
        List<String> order = List.of();

        int asked;

        /** Claims whose owners were asked whether they run, since this was said last. */
        final Set<ClaimId> whether = new HashSet<>();

        /** The claim whose long result is on its way. */
        ClaimId fetches;

        boolean rivalSeen;

        Attempt(
                String token,
                String body,
                boolean leaves,
                Duration due,
                Duration windowEnds,
                Consumer<ClaimDecision> then) {
            this.token = token;
            this.body = body;
            this.leaves = leaves;
            this.due = due;
            this.windowEnds = windowEnds;
            this.then = then;
        }
    }

    /** One end on its way to a majority. */
    private static final class Ending {
        final String token;
        final ClaimOutcome outcome;
        final Duration due;
        final Duration windowEnds;
        final Map<String, Long> heard;

        /** The result, where it is long and keepers fetch it; else null. */
        final String result;

        Consumer<Boolean> then;
        Duration said;
        int later;
        final Set<String> kept = new HashSet<>();

        Ending(
                Running run,
                ClaimOutcome outcome,
                String result,
                Duration due,
                Duration windowEnds,
                Consumer<Boolean> then) {
            this.token = run.token;
            this.heard = run.heard;
            this.outcome = outcome;
            this.result = result;
            this.due = due;
            this.windowEnds = windowEnds;
            this.then = then;
        }
    }

    /**
     * @param start of this process: claims of another start of the same name are another's
     */
    public ClaimCoordinator(
            String name, long start, ReplicaPlacement layout, RandomGenerator chance) {
        this.name = name;
        this.start = start;
        this.placement = layout;
        this.chance = chance;
    }

    public List<Replica.OutboundMessage> takeOutbound() {
        List<Replica.OutboundMessage> all = List.copyOf(takeOutbound);
        takeOutbound.clear();
        return all;
    }

    public ReplicaPlacement placement() {
        return placement;
    }

    public int inFlight() {
        return attempts.size() + endings.size();
    }

    public double concurrencyLimit() {
        return concurrencyLimit.limit();
    }

    /** Keepers that were asked beyond a majority, and questions that were said again. */
    public long hedgedRequests() {
        return hedgedRequests;
    }

    public long retriedRequests() {
        return retriedRequests;
    }

    /** The number of a keeper's change that was heard of last. */
    public long highestChangeNumber(String keeper) {
        return observedChangeNumbers.getOrDefault(keeper, 0L);
    }

    /** What was heard of others' changes, for a start to come. */
    public Map<String, Long> observedChangeNumbers() {
        Map<String, Long> all = new TreeMap<>();
        for (ReplicaServer each : placement.servers()) {
            if (observedChangeNumbers.containsKey(each.name())) {
                all.put(each.name(), observedChangeNumbers.get(each.name()));
            }
        }
        return all;
    }

    /** What a former start had heard. */
    public void restoreChangeNumbers(Map<String, Long> former) {
        former.forEach(this::observedChangeNumbers);
    }

    private void observedChangeNumbers(String keeper, long number) {
        if (observedChangeNumbers.size() < MOST_HEARD
                || observedChangeNumbers.containsKey(keeper)) {
            observedChangeNumbers.merge(keeper, number, Math::max);
        }
    }

    /** A later epoch: what is under way is asked anew of whoever keeps it now. */
    public void adoptPlacement(ReplicaPlacement next, Duration now) {
        if (next.epoch() <= placement.epoch()) {
            return;
        }
        placement = next;
        for (Attempt each : List.copyOf(attempts.values())) {
            each.answers.clear();
            first(each, now);
        }
        endings.forEach(
                (id, each) -> {
                    each.kept.clear();
                    tell(id, each, now);
                });
    }

    private List<String> keepers(String token) {
        return placement.replicasOf(ReplicaPlacement.rangeOf(token));
    }

    private void send(String to, ReplicationMessage message) {
        takeOutbound.add(new Replica.OutboundMessage(to, message));
    }

    /**
     * Asks the keepers whether this may run here.
     *
     * @param leaves whether this server will soon claim its like no more, and no other has to mind
     *     that it does
     * @param due when the run has to begin at the latest, or be given up
     * @param windowEnds end of the token's window
     * @param then handed the one verdict, perhaps at once
     */
    public void claim(
            String token,
            String body,
            boolean leaves,
            Duration due,
            Duration windowEnds,
            Duration now,
            Consumer<ClaimDecision> then) {
        List<String> keepers = keepers(token);
        long silent = keepers.stream().filter(concurrencyLimit::isUnresponsive).count();
        boolean hopeless =
                keepers.isEmpty()
                        || keepers.size() - silent < ReplicaPlacement.quorumSize(keepers.size());
        // What cannot be claimed is throttled at once, before it waits for anybody.
        if (hopeless && concurrencyLimit.shouldProbe(now)) {
            // Whether they are back is asked for by itself: no caller waits for that.
            ClaimId probe = new ClaimId(name, start, ++runs);
            for (String keeper : keepers) {
                if (concurrencyLimit.isUnresponsive(keeper)) {
                    send(
                            keeper,
                            new ReplicationMessage.ClaimQuery(placement.epoch(), token, probe));
                }
            }
        }
        if (!concurrencyLimit.hasCapacity() || attempts.size() >= MOST || hopeless) {
            then.accept(new ClaimDecision(ClaimDecision.Kind.THROTTLED, null, null));
            return;
        }
        concurrencyLimit.started();
        again.deposit(AGAIN_SHARE);
        Attempt attempt = new Attempt(token, body, leaves, due, windowEnds, then);
        renew(attempt);
        attempt.began = now;
        first(attempt, now);
    }

    private void renew(Attempt attempt) {
        if (attempt.id != null) {
            attempts.remove(attempt.id);
        }
        attempt.id = new ClaimId(name, start, ++runs);
        attempt.answers.clear();
        attempt.whether.clear();
        attempts.put(attempt.id, attempt);
    }

    /** Asks as many as a majority takes, the quickest. */
    private void first(Attempt attempt, Duration now) {
        attempt.said = now;
        attempt.order = pace.fastestFirst(keepers(attempt.token), concurrencyLimit);
        attempt.asked =
                Math.min(attempt.order.size(), ReplicaPlacement.quorumSize(attempt.order.size()));
        for (String keeper : attempt.order.subList(0, attempt.asked)) {
            ask(attempt, keeper, now);
        }
    }

    /** One more: an answer is late, or was no grant. */
    private void more(Attempt attempt, Duration now) {
        if (attempt.asked < attempt.order.size()) {
            ask(attempt, attempt.order.get(attempt.asked++), now);
        }
    }

    private void ask(Attempt attempt, String keeper, Duration now) {
        concurrencyLimit.requestSent(keeper);
        send(
                keeper,
                attempt.claims
                        ? new ReplicationMessage.ClaimRequest(
                                placement.epoch(),
                                attempt.token,
                                attempt.id,
                                attempt.body,
                                timeUntil(attempt.windowEnds, now),
                                attempt.leaves)
                        : new ReplicationMessage.ClaimQuery(
                                placement.epoch(), attempt.token, attempt.id));
    }

    /** What was not answered is asked again, all of it, as far as the budget goes. */
    private void again(Attempt attempt, Duration now) {
        attempt.said = now;
        attempt.asked = attempt.order.size();
        for (String keeper : attempt.order) {
            if (attempt.answers.containsKey(keeper)) {
                continue;
            }
            if (!again.tryTake(1, now)) {
                return;
            }
            retriedRequests++;
            ask(attempt, keeper, now);
        }
    }

    private void release(Attempt attempt, Duration now) {
        if (attempt.claims) {
            releaseClaim(attempt.token, attempt.id, attempt.windowEnds, now);
        }
    }

    /**
     * A claim, of this start of the server or a former one, is known never to have run: its keepers
     * are told, and whoever asks.
     */
    public void releaseClaim(String token, ClaimId id, Duration windowEnds, Duration now) {
        releasedIds.put(id, windowEnds);
        for (String keeper : keepers(token)) {
            send(
                    keeper,
                    new ReplicationMessage.ClaimRelease(token, id, timeUntil(windowEnds, now)));
        }
    }

    private void end(
            Attempt attempt, ClaimDecision.Kind what, ClaimOutcome outcome, boolean timely) {
        attempts.remove(attempt.id);
        if (attempt.claims) {
            concurrencyLimit.finished(timely);
        }
        attempt.then.accept(new ClaimDecision(what, attempt.id, outcome));
    }

    public void receive(String from, ReplicationMessage message, Duration now) {
        if (message instanceof ReplicationMessage.ClaimReply answer) {
            concurrencyLimit.replyReceived(from);
            observedChangeNumbers(from, answer.changeNumber());
            Attempt attempt = attempts.get(answer.claimId());
            if (attempt == null || !keepers(attempt.token).contains(from)) {
                return;
            }
            if (attempt.claims && answer.vote() == ReplicationMessage.ClaimVote.UNCLAIMED) {
                return; // to a look of before
            }
            if (attempt.answers.put(from, answer) == null) {
                pace.record(from, now.minus(attempt.said));
            }
            weigh(attempt, now);
        } else if (message instanceof ReplicationMessage.OutcomeStored kept) {
            concurrencyLimit.replyReceived(from);
            observedChangeNumbers(from, kept.changeNumber());
            Ending ending = endings.get(kept.claimId());
            if (ending == null
                    || kept.epoch() != placement.epoch()
                    || !keepers(ending.token).contains(from)) {
                return;
            }
            if (ending.kept.add(from) && ending.result == null) {
                pace.record(from, now.minus(ending.said));
            }
            if (ending.kept.size() >= ReplicaPlacement.quorumSize(keepers(ending.token).size())) {
                answer(ending, true);
            }
            if (ending.kept.size() == keepers(ending.token).size()) {
                drop(kept.claimId());
            }
        } else if (message instanceof ReplicationMessage.ClaimCompleted ended) {
            ended.changeNumbers().forEach(this::observedChangeNumbers);
        } else if (message instanceof ReplicationMessage.ChangeNumberQuery asked) {
            send(
                    from,
                    new ReplicationMessage.ChangeNumberReply(
                            asked.nonce(), highestChangeNumber(from)));
        } else if (message instanceof ReplicationMessage.Chunk piece) {
            pieces.accept(piece).ifPresent(whole -> fetched(whole, now));
            takeOutbound.addAll(pieces.tick(now));
        } else if (message instanceof ReplicationMessage.OwnerQuery whether) {
            Duration ends = releasedIds.get(whether.claimId());
            if (ends == null) {
                return;
            }
            send(
                    from,
                    new ReplicationMessage.ClaimRelease(
                            whether.token(), whether.claimId(), timeUntil(ends, now)));
            releaseClaim(whether.token(), whether.claimId(), ends, now);
        }
    }

    /** The table of the design note: what each mix of answers allows. */
    private void weigh(Attempt attempt, Duration now) {
        int size = keepers(attempt.token).size();
        int majority = ReplicaPlacement.quorumSize(size);
        int granted = 0;
        int free = 0;
        int against = 0;
        for (ReplicationMessage.ClaimReply answer : attempt.answers.values()) {
            switch (answer.vote()) {
                case COMPLETED -> {
                    ClaimOutcome outcome = answer.outcome().orElseThrow();
                    if (!outcome.isChunked() || !outcome.fingerprint().equals(attempt.body)) {
                        done(attempt, outcome, now);
                        return;
                    }
                    against++;
                    attempt.rivalSeen = true;
                }
                case GRANTED -> {
                    // A grant of another epoch is another majority's.
                    if (answer.epoch() == placement.epoch()) {
                        granted++;
                    }
                }
                case UNCLAIMED -> {
                    if (answer.epoch() == placement.epoch()) {
                        free++;
                    }
                }
                case HELD -> {
                    against++;
                    attempt.rivalSeen = true;
                    if (answer.otherClaim().isPresent()
                            && attempt.whether.add(answer.otherClaim().get())) {
                        send(
                                answer.otherClaim().get().server(),
                                new ReplicationMessage.OwnerQuery(
                                        attempt.token, answer.otherClaim().get()));
                    }
                }
                default -> against++;
            }
        }
        if (fetches(attempt, now)) {
            return;
        }
        int open = attempt.asked - attempt.answers.size();
        if (against > 0 && granted + free + open < majority || against > 0 && open == 0) {
            more(attempt, now);
        }
        if (attempt.claims && granted >= majority) {
            if (now.compareTo(attempt.due)
                    >= 0) { // looked at last: a server that slept acts on nothing old
                release(attempt, now);
                end(attempt, ClaimDecision.Kind.THROTTLED, null, false);
                return;
            }
            Map<String, Long> rests = new TreeMap<>();
            attempt.answers.forEach((keeper, answer) -> rests.put(keeper, answer.changeNumber()));
            running.put(attempt.id, new Running(attempt.token, rests));
            end(attempt, ClaimDecision.Kind.RUN, null, true);
        } else if (attempt.claims && size - against < majority) {
            makeWay(attempt, now);
        } else if (!attempt.claims && free >= majority) {
            // Whoever held it has let it go: by a majority it was never run.
            attempt.claims = true;
            attempt.rivalSeen = false;
            concurrencyLimit.started();
            renew(attempt);
            attempt.began = now;
            first(attempt, now);
        }
    }

    /**
     * Whether it has ended with a long result that a keeper has: that is fetched, and nothing else
     * is asked meanwhile.
     */
    private boolean fetches(Attempt attempt, Duration now) {
        for (Map.Entry<String, ReplicationMessage.ClaimReply> each : attempt.answers.entrySet()) {
            ReplicationMessage.ClaimReply answer = each.getValue();
            if (answer.vote() != ReplicationMessage.ClaimVote.COMPLETED
                    || !answer.outcome().orElseThrow().resultPresent()
                    || answer.otherClaim().isEmpty()) {
                continue;
            }
            attempt.fetches = answer.otherClaim().get();
            pieces.request(
                    attempt.token,
                    attempt.fetches,
                    answer.outcome().get(),
                    each.getKey(),
                    placement.epoch(),
                    now);
            takeOutbound.addAll(pieces.tick(now));
            return true;
        }
        return false;
    }

    private void fetched(ChunkAssembler.AssembledResult whole, Duration now) {
        for (Attempt attempt : List.copyOf(attempts.values())) {
            if (!attempt.token.equals(whole.token()) || !whole.claimId().equals(attempt.fetches)) {
                continue;
            }
            done(attempt, new ClaimOutcome(true, attempt.body, whole.result()), now);
        }
    }

    /** It cannot be this one now: its claim is taken back, and the other's end is looked for. */
    private void makeWay(Attempt attempt, Duration now) {
        release(attempt, now);
        attempt.claims = false;
        concurrencyLimit.finished(true);
        renew(attempt);
        later(attempt, now);
    }

    private void later(Attempt attempt, Duration now) {
        long nanos = attempt.pause.toNanos();
        attempt.nextLook = now.plusNanos(nanos / 2 + (long) (nanos * chance.nextDouble()));
        attempt.pause = min(attempt.pause.multipliedBy(2), LOOK_MOST);
    }

    private void done(Attempt attempt, ClaimOutcome outcome, Duration now) {
        release(attempt, now);
        if (!outcome.fingerprint().equals(attempt.body)) {
            end(attempt, ClaimDecision.Kind.FINGERPRINT_MISMATCH, outcome, true);
        } else {
            end(
                    attempt,
                    outcome.succeeded()
                            ? ClaimDecision.Kind.REPLAY
                            : ClaimDecision.Kind.COMPLETED_WITHOUT_RESULT,
                    outcome,
                    true);
        }
    }

    /** A claimed run has never begun after all: somebody else may have it. */
    public void releaseClaim(ClaimId id, Duration windowEnds, Duration now) {
        Running run = running.remove(id);
        if (run != null) {
            releaseClaim(run.token, id, windowEnds, now);
        }
    }

    /**
     * A claimed run has ended.
     *
     * @param result what is fetched by the keepers where the outcome is long, or null
     * @param due when its answer has to leave
     * @param then handed, once, whether a majority keeps the end by then
     */
    public void reportOutcome(
            ClaimId id,
            ClaimOutcome outcome,
            String result,
            Duration due,
            Duration windowEnds,
            Duration now,
            Consumer<Boolean> then) {
        Running run = running.remove(id);
        if (run == null || endings.size() >= MOST) {
            then.accept(false);
            return;
        }
        String held =
                outcome.isChunked() && results + outcome.resultSize() <= MOST_RESULTS
                        ? result
                        : null;
        if (held != null) {
            results += held.length();
        }
        Ending ending = new Ending(run, outcome, held, due, windowEnds, then);
        endings.put(id, ending);
        tell(id, ending, now);
    }

    /**
     * A claim of a former start of this server is known to have ended so: the keepers hear of it as
     * of any end.
     */
    public void reportPreviousOutcome(
            String token,
            ClaimId id,
            ClaimOutcome outcome,
            String result,
            Duration windowEnds,
            Duration now) {
        if (endings.containsKey(id)) {
            return;
        }
        running.put(id, new Running(token, Map.of()));
        reportOutcome(id, outcome, result, now, windowEnds, now, kept -> {});
    }

    private void drop(ClaimId id) {
        Ending ending = endings.remove(id);
        if (ending != null && ending.result != null) {
            results -= ending.result.length();
        }
    }

    /** The long result of a run of this server that keepers still fetch, or null. */
    public String pendingResult(ClaimId id) {
        Ending ending = endings.get(id);
        return ending == null ? null : ending.result;
    }

    private void tell(ClaimId id, Ending ending, Duration now) {
        ending.said = now;
        for (String keeper : keepers(ending.token)) {
            if (ending.kept.contains(keeper)) {
                continue;
            }
            concurrencyLimit.requestSent(keeper);
            send(
                    keeper,
                    new ReplicationMessage.ClaimCompleted(
                            placement.epoch(),
                            ending.token,
                            id,
                            ending.outcome,
                            timeUntil(ending.windowEnds, now),
                            ending.heard));
        }
    }

    private static void answer(Ending ending, boolean kept) {
        Consumer<Boolean> then = ending.then;
        ending.then = null;
        if (then != null) {
            then.accept(kept);
        }
    }

    /** Time goes on: questions are said again, given up, looked after. */
    public void tick(Duration now) {
        for (Attempt attempt : List.copyOf(attempts.values())) {
            if (!attempts.containsKey(attempt.id)) {
                continue;
            }
            if (now.compareTo(attempt.due) >= 0) {
                release(attempt, now);
                end(
                        attempt,
                        attempt.rivalSeen
                                ? ClaimDecision.Kind.OUTCOME_UNKNOWN
                                : ClaimDecision.Kind.THROTTLED,
                        null,
                        false);
            } else if (attempt.claims && now.minus(attempt.began).compareTo(GIVES_UP) >= 0) {
                // Two that have half of the keepers each would wait for one another: both make way,
                // and come back by chance.
                if (attempt.rivalSeen) {
                    makeWay(attempt, now);
                } else {
                    release(attempt, now);
                    end(attempt, ClaimDecision.Kind.THROTTLED, null, false);
                }
            } else if (attempt.claims && now.minus(attempt.said).compareTo(AGAIN) >= 0) {
                // Who was behind or in another epoch may have come up to it meanwhile.
                attempt.answers
                        .values()
                        .removeIf(
                                answer ->
                                        answer.vote() == ReplicationMessage.ClaimVote.LAGGING
                                                || answer.vote()
                                                        == ReplicationMessage.ClaimVote
                                                                .STALE_EPOCH);
                again(attempt, now);
            } else if (!attempt.claims && now.compareTo(attempt.nextLook) >= 0) {
                renew(attempt);
                later(attempt, now);
                first(attempt, now);
            } else if (attempt.asked < attempt.order.size()
                    && late(attempt, now)
                    && again.tryTake(1, now)) {
                hedgedRequests++;
                more(attempt, now);
            }
        }
        takeOutbound.addAll(pieces.tick(now));
        for (Map.Entry<ClaimId, Ending> each : List.copyOf(endings.entrySet())) {
            Ending ending = each.getValue();
            if (now.compareTo(ending.due) >= 0) {
                answer(ending, false);
            }
            boolean kept =
                    ending.kept.size() >= ReplicaPlacement.quorumSize(keepers(ending.token).size());
            if (now.compareTo(ending.windowEnds) >= 0 || kept && ending.later >= LATER) {
                drop(each.getKey());
                continue;
            }
            Duration pause = ending.then == null ? LOOK_MOST : AGAIN;
            if (now.minus(ending.said).compareTo(pause) < 0) {
                continue;
            }
            if (kept) {
                ending.later++;
            }
            tell(each.getKey(), ending, now);
        }
    }

    private boolean late(Attempt attempt, Duration now) {
        return now.minus(attempt.said)
                        .compareTo(pace.hedgeDelay(attempt.order.subList(0, attempt.asked)))
                >= 0;
    }

    /** All that decides what it does next, as text; times are told from now on. */
    public String describeState(Duration now) {
        StringBuilder text =
                new StringBuilder()
                        .append(placement.epoch())
                        .append(running)
                        .append(releasedIds.keySet());
        attempts.forEach(
                (id, each) ->
                        text.append('a')
                                .append(id)
                                .append(each.claims)
                                .append(each.answers)
                                .append(each.rivalSeen)
                                .append(each.order)
                                .append(each.asked)
                                .append(each.fetches)
                                .append(now.minus(each.said))
                                .append(now.minus(each.began))
                                .append(each.nextLook == null ? "" : each.nextLook.minus(now)));
        endings.forEach(
                (id, each) ->
                        text.append('e')
                                .append(id)
                                .append(each.kept)
                                .append(each.later)
                                .append(now.minus(each.said))
                                .append(each.then == null));
        return text.toString();
    }
}
