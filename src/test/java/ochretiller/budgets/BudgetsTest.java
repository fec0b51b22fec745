package ochretiller.budgets;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class BudgetsTest {
    private static final TeamId PARTS = new TeamId("parts");
    private static final TeamId FIT = new TeamId("fit");
    private static final TeamId ORDERING = new TeamId("ordering");
    private final Budgets budgets = new Budgets(10, Duration.ZERO);

    private static Duration ms(double millis) {
        return Duration.ofNanos((long) (millis * 1e6));
    }

    private static GuaranteedRate guarantee(double rate, double weight) {
        return new GuaranteedRate(rate, 0.1, weight, 0.1, 0.05);
    }

    private void setThreeTeams() {
        budgets.setGuaranteedRates(
                Map.of(PARTS, guarantee(5, 1), FIT, guarantee(3, 3), ORDERING, guarantee(1, 0)),
                Duration.ZERO);
    }

    /**
     * Returns the work granted to a team that requests {@code rate} core seconds per second in
     * pieces of 0.01 between two times in milliseconds, while another team does the same.
     */
    private double grantedWork(
            TeamId team,
            double rate,
            int fromMillis,
            int toMillis,
            TeamId other,
            double otherRate) {
        double granted = 0;
        double due = 0;
        double otherDue = 0;
        for (int nowMillis = fromMillis; nowMillis < toMillis; nowMillis++) {
            for (due += rate / 1e3; due >= 0.01; due -= 0.01) {
                if (budgets.request(team, 0.01, ms(nowMillis)).isGranted()) {
                    granted += 0.01;
                }
            }
            for (otherDue += otherRate / 1e3; otherDue >= 0.01; otherDue -= 0.01) {
                budgets.request(other, 0.01, ms(nowMillis));
            }
        }
        return granted;
    }

    @Test
    void guaranteeHoldsAgainstGreedyTeam() {
        setThreeTeams();
        grantedWork(FIT, 50, 0, 2_000, PARTS, 50);
        double granted = grantedWork(ORDERING, 0.99, 2_000, 4_000, FIT, 500);
        assertThat(granted)
                .as("all requested work, from the first millisecond on")
                .isBetween(1.96, 1.99);
    }

    @Test
    void idleWorkIsSharedAndReclaimedAtOnce() {
        setThreeTeams();
        double alone = grantedWork(PARTS, 50, 0, 2_000, ORDERING, 0);
        assertThat(alone).as("its guarantee and the idle work").isBetween(19.0, 20.9);
        double reclaimed = grantedWork(FIT, 2.99, 2_000, 2_100, PARTS, 50);
        assertThat(reclaimed).isGreaterThan(0.28);
    }

    @Test
    void idleWorkIsSharedByWeight() {
        setThreeTeams();
        double fit = grantedWork(FIT, 50, 0, 4_000, PARTS, 50);
        // The idle work is 1 core second per second that is guaranteed to no team and 1 that
        // ordering does not use; three quarters of it go to fit.
        assertThat(fit).isBetween(3 * 4 + 2 * 4 * 0.75 - 0.6, 3 * 4 + 2 * 4 * 0.75 + 0.6);
    }

    @Test
    void unusedGuaranteeAccumulatesUpToTheBurst() {
        setThreeTeams();
        assertThat(budgets.balance(ORDERING, ms(60_000))).isEqualTo(0.1);
        assertThat(budgets.idleWork(ms(60_000)))
                .as("idle work is limited as well")
                .isLessThanOrEqualTo(0.5);
    }

    @Test
    void teamRepaysWorkThatCostMoreThanExpected() {
        setThreeTeams();
        assertThat(budgets.request(ORDERING, 0.01, ms(0)).kind())
                .isEqualTo(BudgetDecision.Kind.GUARANTEED);
        budgets.settle(ORDERING, 0.01, 1.01, ms(0));
        BudgetDecision rejection = budgets.request(ORDERING, 0.01, ms(1));
        assertThat(rejection.kind()).isEqualTo(BudgetDecision.Kind.REJECTED);
        assertThat(rejection.backoff()).isBetween(ms(900), ms(930));
        assertThat(budgets.request(PARTS, 0.01, ms(1)).kind())
                .isEqualTo(BudgetDecision.Kind.GUARANTEED);
        assertThat(budgets.request(ORDERING, 0.01, ms(930)).kind())
                .isEqualTo(BudgetDecision.Kind.GUARANTEED);
    }

    @Test
    void workLargerThanTheBurstStartsAtFullBurstAndLeavesDebt() {
        setThreeTeams();
        assertThat(budgets.request(ORDERING, 0.5, ms(0)).kind())
                .isEqualTo(BudgetDecision.Kind.GUARANTEED);
        assertThat(budgets.balance(ORDERING, ms(0))).isEqualTo(-0.4);
    }

    @Test
    void firstAttemptsLimitRetriesEvenIfWorkIsIdle() {
        setThreeTeams();
        double firstAttempts = 0;
        double retries = 0;
        for (int nowMillis = 0; nowMillis < 10_000; nowMillis++) {
            if (nowMillis % 10 == 0 && budgets.request(PARTS, 0.01, ms(nowMillis)).isGranted()) {
                firstAttempts += 0.01;
            }
            for (int i = 0; i < 5; i++) {
                if (budgets.requestRetry(PARTS, 0.01, ms(nowMillis)).isGranted()) {
                    retries += 0.01;
                }
            }
        }
        assertThat(firstAttempts).isGreaterThan(9.9);
        assertThat(retries).isBetween(0.08 * firstAttempts, 0.1 * firstAttempts + 0.05 + 0.02);
    }

    @Test
    void unknownTeamAndExcessiveGuaranteesAreRejected() {
        setThreeTeams();
        assertThat(budgets.request(new TeamId("stranger"), 0.01, ms(0)).isGranted()).isFalse();
        assertThatThrownBy(
                        () ->
                                budgets.setGuaranteedRates(
                                        Map.of(PARTS, guarantee(8, 1), FIT, guarantee(3, 1)),
                                        ms(0)))
                .hasMessageContaining("exceed the capacity");
        assertThat(budgets.request(ORDERING, 0.01, ms(0)).isGranted())
                .as("the previous guarantees still apply")
                .isTrue();
    }

    @Test
    void newGuaranteesKeepBalanceAndDebt() {
        setThreeTeams();
        budgets.settle(FIT, 0, 2, ms(0));
        Map<TeamId, GuaranteedRate> nextGuarantees =
                new LinkedHashMap<>(Map.of(PARTS, guarantee(5, 1), FIT, guarantee(4, 3)));
        budgets.setGuaranteedRates(nextGuarantees, ms(0));
        assertThat(budgets.balance(FIT, ms(0))).isEqualTo(-1.9);
        assertThat(budgets.request(ORDERING, 0.01, ms(0)).isGranted())
                .as("it has no guarantee any more")
                .isFalse();
    }

    /**
     * Under random requests no more work is granted than the capacity allows, and a team that stays
     * within its guarantee gets all that it requests.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void grantsStayWithinCapacityAndGuaranteeHolds(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        TeamId[] teams = {PARTS, FIT, ORDERING, new TeamId("careless")};
        Map<TeamId, GuaranteedRate> guarantees = new LinkedHashMap<>();
        double unguaranteed = 10;
        for (TeamId team : teams) {
            double rate = unguaranteed * random.nextDouble(0.1, 0.6);
            unguaranteed -= rate;
            guarantees.put(
                    team, new GuaranteedRate(rate, 0.2, random.nextDouble(0.1, 5), 0.1, 0.1));
        }
        budgets.setGuaranteedRates(guarantees, Duration.ZERO);
        double granted = 0;
        double due = 0;
        double requestedRate = guarantees.get(PARTS).rate() * 0.98;
        for (int nowMillis = 0; nowMillis < 5_000; nowMillis++) {
            for (due += requestedRate / 1e3; due >= 0.02; due -= 0.02) {
                assertThat(budgets.request(PARTS, 0.02, ms(nowMillis)).kind())
                        .as("seed %d at %d ms", seed, nowMillis)
                        .isEqualTo(BudgetDecision.Kind.GUARANTEED);
                granted += 0.02;
            }
            for (int i = random.nextInt(8); i > 0; i--) {
                TeamId team = teams[1 + random.nextInt(3)];
                double work = random.nextDouble(0.001, 0.1);
                if (budgets.request(team, work, ms(nowMillis)).isGranted()) {
                    granted += work;
                }
            }
            double limit =
                    10 * nowMillis / 1e3
                            + 4 * 0.2
                            + 0.5
                            + 4 * 0.1; // bursts, accumulated idle work, one request of each team
            assertThat(granted).as("seed %d at %d ms", seed, nowMillis).isLessThanOrEqualTo(limit);
        }
        assertThat(granted).as("the demand far exceeds the capacity").isGreaterThan(0.9 * 10 * 5);
    }
}
