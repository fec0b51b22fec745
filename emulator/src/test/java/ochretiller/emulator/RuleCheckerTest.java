package ochretiller.emulator;

import static org.assertj.core.api.Assertions.assertThat;

import ochretiller.emulator.rules.RuleChecker;
import org.junit.jupiter.api.Test;

/** Checks that each rule reports exactly its own violations. */
class RuleCheckerTest {
    private final RuleChecker rules = new RuleChecker();

    private void recordRead(long id) {
        rules.attemptRead(0, id, "order", 5, true);
    }

    private void recordRun(long id, String token) {
        rules.runs(1, id, "box", token, 20, 100, 0);
    }

    @Test
    void oneAnswerInTimeIsNoViolation() {
        recordRead(1);
        recordRun(1, "t");
        rules.attemptAnswered(2, 1, false, -1, -1);
        rules.finish(30);
        assertThat(rules.violations()).isEmpty();
        assertThat(rules.answers()).isEqualTo(1);
    }

    @Test
    void missingSecondAndLateAnswersAreViolations() {
        recordRead(1);
        rules.finish(30);
        assertThat(rules.violations()).singleElement().asString().contains("never answered");
        recordRead(2);
        rules.attemptAnswered(2, 2, false, -1, -1);
        rules.attemptAnswered(2, 2, false, -1, -1);
        assertThat(rules.violations().get(1)).contains("second answer");
        recordRead(3);
        rules.attemptAnswered(5.2, 3, false, -1, -1);
        assertThat(rules.violations().get(2)).contains("past its due time");
    }

    @Test
    void secondRunInWindowAndThrottlingAfterRunAreViolations() {
        recordRead(1);
        recordRun(1, "t");
        rules.attemptAnswered(2, 1, true, -1, -1);
        assertThat(rules.violations())
                .singleElement()
                .asString()
                .contains("throttled behind its run");
        recordRead(2);
        recordRun(2, "t");
        assertThat(rules.violations().get(1)).contains("ran twice");
        recordRead(3);
        rules.runs(21, 3, "box", "t", 40, 100, 20);
        assertThat(rules.violationCount())
                .as("after the end of the deduplication window")
                .isEqualTo(2);
        rules.runs(21, 3, "another", "t", 40, 100, 20);
        assertThat(rules.violationCount()).as("tokens are tracked per server").isEqualTo(2);
    }

    @Test
    void runOfArrivalAfterGraceAndShutdownWithoutAnswerAreViolations() {
        recordRead(1);
        rules.runs(9, 1, "box", null, 0, 7, 8);
        assertThat(rules.violations()).singleElement().asString().contains("grace");
        rules.serverStoppedWithoutAnswer(9, 1, "box");
        assertThat(rules.violations().get(1)).contains("left without an answer");
    }

    @Test
    void noAnswerIsOwedAfterClientLeftOrServerDied() {
        recordRead(1);
        rules.clientGone(1);
        recordRead(2);
        rules.connectionLost(2);
        rules.finish(30);
        assertThat(rules.violations()).isEmpty();
    }

    @Test
    void deadlineDuringPauseMovesToItsEnd() {
        recordRead(1);
        rules.attemptAnswered(7, 1, false, 4, 7);
        assertThat(rules.violations()).isEmpty();
        recordRead(2);
        rules.attemptAnswered(7, 2, false, 5.5, 7);
        assertThat(rules.violations()).as("the pause began after the deadline").hasSize(1);
    }
}
