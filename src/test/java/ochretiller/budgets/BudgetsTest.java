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

    private static GuaranteedRate promise(double rate, double weight) {
        return new GuaranteedRate(rate, 0.1, weight, 0.1, 0.05);
    }

    private void three() {
        budgets.become(
                Map.of(PARTS, promise(5, 1), FIT, promise(3, 3), ORDERING, promise(1, 0)),
                Duration.ZERO);
    }

    /**
     * Work granted to a team that asks for so much a second, in pieces of a hundredth, between two
     * times in milliseconds.
     */
    private double asks(
            TeamId team, double rate, int from, int to, TeamId beside, double besideRate) {
        double got = 0;
        double due = 0;
        double besideDue = 0;
        for (int at = from; at < to; at++) {
            for (due += rate / 1e3; due >= 0.01; due -= 0.01) {
                if (budgets.ask(team, 0.01, ms(at)).given()) {
                    got += 0.01;
                }
            }
            for (besideDue += besideRate / 1e3; besideDue >= 0.01; besideDue -= 0.01) {
                budgets.ask(beside, 0.01, ms(at));
            }
        }
        return got;
    }

    @Test
    void promiseHoldsBesideATeamThatWantsEverything() {
        three();
        asks(FIT, 50, 0, 2_000, PARTS, 50);
        double got = asks(ORDERING, 0.99, 2_000, 4_000, FIT, 500);
        assertThat(got)
                .as("all that it asked, from the first millisecond on")
                .isBetween(1.96, 1.99);
    }

    @Test
    void whatIsIdleIsLentAndTakenBackAtOnce() {
        three();
        double alone = asks(PARTS, 50, 0, 2_000, ORDERING, 0);
        assertThat(alone).as("its own and what others leave").isBetween(19.0, 20.9);
        double back = asks(FIT, 2.99, 2_000, 2_100, PARTS, 50);
        assertThat(back).isGreaterThan(0.28);
    }

    @Test
    void idleWorkIsSharedByWeight() {
        three();
        double fit = asks(FIT, 50, 0, 4_000, PARTS, 50);
        // Idle is what was promised to nobody, one, and ordering's one; three of four parts of it
        // are for this team.
        assertThat(fit).isBetween(3 * 4 + 2 * 4 * 0.75 - 0.6, 3 * 4 + 2 * 4 * 0.75 + 0.6);
    }

    @Test
    void unusedPromiseIsSavedUpToItsBurstOnly() {
        three();
        assertThat(budgets.inHand(ORDERING, ms(60_000))).isEqualTo(0.1);
        assertThat(budgets.idle(ms(60_000))).as("nor is what is idle").isLessThanOrEqualTo(0.5);
    }

    @Test
    void workThatCostMoreThanExpectedIsPaidLaterByItsOwnTeam() {
        three();
        assertThat(budgets.ask(ORDERING, 0.01, ms(0)).kind())
                .isEqualTo(BudgetDecision.Kind.PROMISED);
        budgets.settle(ORDERING, 0.01, 1.01, ms(0));
        BudgetDecision refused = budgets.ask(ORDERING, 0.01, ms(1));
        assertThat(refused.kind()).isEqualTo(BudgetDecision.Kind.REFUSED);
        assertThat(refused.backoff()).isBetween(ms(900), ms(930));
        assertThat(budgets.ask(PARTS, 0.01, ms(1)).kind()).isEqualTo(BudgetDecision.Kind.PROMISED);
        assertThat(budgets.ask(ORDERING, 0.01, ms(930)).kind())
                .isEqualTo(BudgetDecision.Kind.PROMISED);
    }

    @Test
    void workDearerThanTheBurstStartsOnceTheBurstIsThereAndIsPaidBehindIt() {
        three();
        assertThat(budgets.ask(ORDERING, 0.5, ms(0)).kind())
                .isEqualTo(BudgetDecision.Kind.PROMISED);
        assertThat(budgets.inHand(ORDERING, ms(0))).isEqualTo(-0.4);
    }

    @Test
    void retriesAreBoundByFirstTriesWhateverElseIsIdle() {
        three();
        double first = 0;
        double again = 0;
        for (int at = 0; at < 10_000; at++) {
            if (at % 10 == 0 && budgets.ask(PARTS, 0.01, ms(at)).given()) {
                first += 0.01;
            }
            for (int i = 0; i < 5; i++) {
                if (budgets.askAgain(PARTS, 0.01, ms(at)).given()) {
                    again += 0.01;
                }
            }
        }
        assertThat(first).isGreaterThan(9.9);
        assertThat(again).isBetween(0.08 * first, 0.1 * first + 0.05 + 0.02);
    }

    @Test
    void unknownTeamHasNothingAndPromisesOverTheCapacityAreRefusedAsAWhole() {
        three();
        assertThat(budgets.ask(new TeamId("stranger"), 0.01, ms(0)).given()).isFalse();
        assertThatThrownBy(
                        () ->
                                budgets.become(
                                        Map.of(PARTS, promise(8, 1), FIT, promise(3, 1)), ms(0)))
                .hasMessageContaining("over the capacity");
        assertThat(budgets.ask(ORDERING, 0.01, ms(0)).given())
                .as("the old promises stand")
                .isTrue();
    }

    @Test
    void newPromisesKeepWhatIsInHandOrOwed() {
        three();
        budgets.settle(FIT, 0, 2, ms(0));
        Map<TeamId, GuaranteedRate> next =
                new LinkedHashMap<>(Map.of(PARTS, promise(5, 1), FIT, promise(4, 3)));
        budgets.become(next, ms(0));
        assertThat(budgets.inHand(FIT, ms(0))).isEqualTo(-1.9);
        assertThat(budgets.ask(ORDERING, 0.01, ms(0)).given()).as("its contract is over").isFalse();
    }

    /**
     * Whatever teams ask for: no more is given than there is, and who keeps to its promise gets
     * all.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void noMoreIsGivenThanThereIsAndThePromiseIsKept(long seed) {
        SplittableRandom chance = new SplittableRandom(seed);
        TeamId[] teams = {PARTS, FIT, ORDERING, new TeamId("careless")};
        Map<TeamId, GuaranteedRate> promises = new LinkedHashMap<>();
        double left = 10;
        for (TeamId team : teams) {
            double rate = left * chance.nextDouble(0.1, 0.6);
            left -= rate;
            promises.put(team, new GuaranteedRate(rate, 0.2, chance.nextDouble(0.1, 5), 0.1, 0.1));
        }
        budgets.become(promises, Duration.ZERO);
        double given = 0;
        double due = 0;
        double modest = promises.get(PARTS).rate() * 0.98;
        for (int at = 0; at < 5_000; at++) {
            for (due += modest / 1e3; due >= 0.02; due -= 0.02) {
                assertThat(budgets.ask(PARTS, 0.02, ms(at)).kind())
                        .as("seed %d at %d ms", seed, at)
                        .isEqualTo(BudgetDecision.Kind.PROMISED);
                given += 0.02;
            }
            for (int i = chance.nextInt(8); i > 0; i--) {
                TeamId team = teams[1 + chance.nextInt(3)];
                double work = chance.nextDouble(0.001, 0.1);
                if (budgets.ask(team, work, ms(at)).given()) {
                    given += work;
                }
            }
            double most =
                    10 * at / 1e3
                            + 4 * 0.2
                            + 0.5
                            + 4 * 0.1; // bursts, idle in hand, and one piece of work each
            assertThat(given).as("seed %d at %d ms", seed, at).isLessThanOrEqualTo(most);
        }
        assertThat(given).as("asked for far more than there is").isGreaterThan(0.9 * 10 * 5);
    }
}
