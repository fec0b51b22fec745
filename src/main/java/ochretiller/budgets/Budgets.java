package ochretiller.budgets;

import static ochretiller.time.Durations.inSeconds;
import static ochretiller.time.Durations.ofSeconds;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Shares work among teams. Each has its promised rate in a purse of its own; what no purse can
 * keep, and what was promised to nobody, is idle and lent by weight. Nothing is borrowed from
 * another's purse, so that a promise holds at once whatever others do.
 */
public final class Budgets {
    /** Teams of one broker: each takes some hundred bytes. */
    private static final int MOST = 10_000;

    /**
     * Idle work that is kept for lending, seconds of the capacity: what nobody wanted for longer is
     * gone.
     */
    private static final double IDLE_S = 0.05;

    /**
     * How far one team may run ahead of others that want idle work, seconds of the capacity over
     * its weight.
     */
    private static final double AHEAD_S = 0.01;

    /** A team wants idle work if it asked for some so lately. */
    private static final Duration WANTS = Duration.ofMillis(200);

    /** Longest time that a refused one is told to stay away: promises change. */
    private static final Duration LONGEST = Duration.ofSeconds(10);

    private static final Duration SHORTEST = Duration.ofMillis(10);

    private final double capacity;
    private final Map<TeamId, TokenBucket> purses = new LinkedHashMap<>();
    private final Map<TeamId, Duration> wanted = new LinkedHashMap<>();
    private double idle;
    private double promised;
    private Duration filledAt;

    /**
     * No team yet.
     *
     * @param capacity core seconds a second that the broker can have done
     */
    public Budgets(double capacity, Duration now) {
        if (!(capacity > 0)) {
            throw new IllegalArgumentException("no capacity: " + capacity);
        }
        this.capacity = capacity;
        this.filledAt = now;
    }

    /**
     * Promises hold from here on, all in one step; what a team has in hand or owes stays its own.
     */
    public void become(Map<TeamId, GuaranteedRate> promises, Duration now) {
        if (promises.size() > MOST) {
            throw new IllegalArgumentException("over " + MOST + " teams");
        }
        double sum = promises.values().stream().mapToDouble(GuaranteedRate::rate).sum();
        if (sum > capacity * (1 + 1e-9)) {
            throw new IllegalArgumentException(
                    "promises of "
                            + sum
                            + " core seconds a second are over the capacity of "
                            + capacity);
        }
        fill(now);
        purses.keySet().retainAll(promises.keySet());
        wanted.keySet().retainAll(promises.keySet());
        promises.forEach(
                (team, promise) -> {
                    TokenBucket purse =
                            purses.computeIfAbsent(team, id -> new TokenBucket(promise, now));
                    purse.promise = promise;
                    purse.fill(now);
                });
        promised = sum;
    }

    private void fill(Duration now) {
        if (now.equals(filledAt)) {
            return; // many ask in one gathering, and no time has passed between them
        }
        idle += Math.max(0, inSeconds(now.minus(filledAt))) * (capacity - promised);
        filledAt = now;
        for (TokenBucket purse : purses.values()) {
            idle += purse.fill(now);
        }
        idle = Math.min(idle, capacity * IDLE_S);
    }

    /** A first try of so much expected work, reading included. Whoever is not known has nothing. */
    public BudgetDecision ask(TeamId team, double work, Duration now) {
        fill(now);
        TokenBucket purse = purses.get(team);
        if (purse == null) {
            return new BudgetDecision(BudgetDecision.Kind.REFUSED, LONGEST);
        }
        if (purse.affords(work)) {
            purse.takes(work);
            return new BudgetDecision(BudgetDecision.Kind.PROMISED, Duration.ZERO);
        }
        if (lends(team, purse, work, now)) {
            idle -= work;
            purse.takesLent(work);
            return new BudgetDecision(BudgetDecision.Kind.LENT, Duration.ZERO);
        }
        return refused(purse, work);
    }

    /** One that asks again is charged to its own retries, and to its work as a first try is. */
    public BudgetDecision askAgain(TeamId team, double work, Duration now) {
        TokenBucket purse = purses.get(team);
        if (purse == null || !purse.affordsRetry(work)) {
            fill(now);
            return purse == null
                    ? new BudgetDecision(BudgetDecision.Kind.REFUSED, LONGEST)
                    : refused(purse, work);
        }
        BudgetDecision grant = ask(team, work, now);
        if (grant.given()) {
            purse.takesRetry(work * (1 + purse.promise.retryShare())); // it earns no retries itself
        }
        return grant;
    }

    /**
     * By weight among those that want it: who has had least is never behind by more than a little.
     */
    private boolean lends(TeamId team, TokenBucket purse, double work, Duration now) {
        if (purse.promise.weight() == 0) {
            return false;
        }
        boolean joins =
                !wanted.containsKey(team) || now.minus(wanted.get(team)).compareTo(WANTS) > 0;
        wanted.put(team, now);
        wanted.values().removeIf(at -> now.minus(at).compareTo(WANTS) > 0);
        double least = Double.POSITIVE_INFINITY;
        for (TeamId other : wanted.keySet()) {
            if (!other.equals(team)) {
                least = Math.min(least, purses.get(other).lent);
            }
        }
        // Who was away has not saved up a claim on what is idle: it begins where the others are.
        if (joins && least < Double.POSITIVE_INFINITY) {
            purse.lent = Math.max(purse.lent, least);
        }
        return idle >= Math.min(work, capacity * IDLE_S)
                && purse.lent <= least + capacity * AHEAD_S / purse.promise.weight();
    }

    private BudgetDecision refused(TokenBucket purse, double work) {
        double own = purse.wait(work);
        Duration back = own > inSeconds(LONGEST) ? LONGEST : ofSeconds(own);
        return new BudgetDecision(
                BudgetDecision.Kind.REFUSED, back.compareTo(SHORTEST) < 0 ? SHORTEST : back);
    }

    /**
     * A run is over: what it cost beside what was expected is its team's to pay, or to have back.
     */
    public void settle(TeamId team, double expected, double cost, Duration now) {
        TokenBucket purse = purses.get(team);
        if (purse == null) {
            return;
        }
        fill(now);
        purse.settles(cost - expected);
    }

    /** Work in hand; under zero it is owed. */
    public double inHand(TeamId team, Duration now) {
        fill(now);
        return purses.containsKey(team) ? purses.get(team).own() : 0;
    }

    public double idle(Duration now) {
        fill(now);
        return idle;
    }
}
