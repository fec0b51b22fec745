package ochretiller.admission;

import static ochretiller.admission.AdmissionFixture.ORDER;
import static ochretiller.admission.AdmissionFixture.READ;
import static ochretiller.admission.AdmissionFixture.SECOND;
import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.SplittableRandom;
import ochretiller.model.CallOutcome;
import ochretiller.model.CapacityAdvertisement;
import ochretiller.model.ClientId;
import ochretiller.model.Invocation;
import ochretiller.model.InvocationId;
import ochretiller.model.Operation;
import ochretiller.model.ResourceGauges;
import ochretiller.model.RunOutcome;
import ochretiller.model.SideEffect;
import ochretiller.model.Tenant;
import ochretiller.model.TenantId;
import org.junit.jupiter.api.Test;

class AdmissionControllerTest {
    private final AdmissionFixture server = new AdmissionFixture();

    /** Both cores run, so that what comes next is held. */
    private void busy() {
        server.arrive(101, READ, null);
        server.arrive(102, READ, null);
    }

    private List<String> drain(Duration kill) {
        return server.act(server.choice().onShutdownNotice(kill));
    }

    @Test
    void tokenedIsMarkedWhenReadAndRuns() {
        assertThat(server.arrive(1, ORDER, null)).containsExactly("keep 1", "run 1");
    }

    @Test
    void tokenedIsMarkedWhileHeld() {
        busy();
        assertThat(server.arrive(1, ORDER, null)).containsExactly("keep 1");
    }

    @Test
    void repeatOfRunningWaitsAndReplays() {
        server.arrive(1, ORDER, null);
        assertThat(server.arrive(2, ORDER, 1L)).isEmpty();
        assertThat(server.end(1, RunOutcome.Status.SUCCEEDED)).containsExactly("replay 2");
    }

    @Test
    void repeatOfSucceededReplaysAtOnce() {
        server.arrive(1, ORDER, null);
        server.end(1, RunOutcome.Status.SUCCEEDED);
        assertThat(server.arrive(2, ORDER, 1L)).containsExactly("replay 2");
    }

    @Test
    void repeatOfFailedRunIsFailedAndNeverRuns() {
        server.arrive(1, ORDER, null);
        server.end(1, RunOutcome.Status.FAILED);
        assertThat(server.arrive(2, ORDER, 1L)).containsExactly("fail 2");
    }

    @Test
    void repeatOfStoppedRunIsFailed() {
        server.arrive(1, ORDER, null);
        server.arrive(2, ORDER, 1L);
        assertThat(server.end(1, RunOutcome.Status.STOPPED)).containsExactly("fail 2");
    }

    @Test
    void repeatOfARunThatNeverBeganTakesItsPlace() {
        server.arrive(1, ORDER, null);
        server.arrive(2, ORDER, 1L);
        assertThat(server.end(1, RunOutcome.Status.NEVER_STARTED))
                .containsExactly("erase 1", "keep 2", "run 2");
    }

    @Test
    void repeatOfUnknownForerunnerReplays() {
        assertThat(server.arrive(2, ORDER, 1L)).containsExactly("replay 2");
    }

    @Test
    void repeatOfOneThatNeverRanTakesItsPlace() {
        busy();
        server.arrive(1, ORDER, null);
        server.arrive(2, ORDER, 1L);
        assertThat(server.act(server.choice().onClientGone(new InvocationId(1))))
                .containsExactly("erase 1", "keep 2");
    }

    @Test
    void repeatOfThrottledMayRun() {
        busy();
        server.arrive(1, ORDER, null);
        server.act(server.choice().onClientGone(new InvocationId(1)));
        server.end(101, RunOutcome.Status.SUCCEEDED);
        assertThat(server.arrive(2, ORDER, 1L)).containsExactly("keep 2", "run 2");
    }

    @Test
    void repeatNearItsDueTimeFailsOnceItsForerunnerStarted() {
        server.arrive(1, ORDER, null);
        server.now = SECOND;
        server.arrive(2, ORDER, 1L);
        server.beat(SECOND.multipliedBy(4));
        assertThat(server.beat(SECOND.multipliedBy(5)))
                .contains("fail 2")
                .doesNotContain("throttle 2", "last 2");
    }

    @Test
    void fullShareThrottlesTokenedNewcomerBeforeItRuns() {
        server.entryKb = 3_000;
        server.arrive(1, ORDER, null);
        assertThat(server.arrive(2, ORDER, null)).containsExactly("throttle 2");
        assertThat(server.arrive(3, READ, null)).containsExactly("run 3");
    }

    @Test
    void entryFreesItsMemoryAfterItsWindow() {
        AdmissionController.IdempotencyTable tokens =
                new AdmissionController.IdempotencyTable(3_000, 10_000);
        tokens.open(server.inv(1, ORDER, null), Duration.ZERO);
        assertThat(tokens.room(SECOND.multipliedBy(9))).isFalse();
        assertThat(tokens.room(SECOND.multipliedBy(11))).isTrue();
    }

    @Test
    void oneDroppedAndReadAgainLateDoesNotUpsetTheTable() {
        AdmissionController.IdempotencyTable tokens =
                new AdmissionController.IdempotencyTable(10, 10_000);
        tokens.open(server.inv(1, ORDER, null), Duration.ZERO);
        tokens.open(server.inv(1, ORDER, null), Duration.ZERO);
        tokens.open(server.inv(2, ORDER, null), SECOND.multipliedBy(30));
        assertThat(tokens.room(SECOND.multipliedBy(30))).isTrue();
    }

    @Test
    void readTooLateIsThrottledAndNotKept() {
        Invocation old = server.inv(1, ORDER, null);
        server.now = SECOND.multipliedBy(20);
        assertThat(server.act(server.choice().onInvocationReceived(old))).containsExactly("last 1");
    }

    @Test
    void runningIsFailedBeforeItsDueTimeAndStopped() {
        server.arrive(1, READ, null);
        assertThat(server.beat(Duration.ofMillis(3_900))).doesNotContain("fail 1");
        assertThat(server.beat(Duration.ofMillis(3_930))).contains("fail 1", "stop 1");
        assertThat(server.end(1, RunOutcome.Status.STOPPED)).isEmpty();
    }

    @Test
    void tokenedRunIsNeverStopped() {
        server.arrive(1, ORDER, null);
        assertThat(server.act(server.choice().onClientGone(new InvocationId(1)))).isEmpty();
    }

    @Test
    void heldPastHopeIsThrottledAtOnce() {
        busy();
        server.arrive(1, READ, null);
        assertThat(server.beat(Duration.ofMillis(1_600))).containsAnyOf("last 1", "throttle 1");
    }

    @Test
    void drainRunsNothingThatCameAfterTheGrace() {
        assertThat(drain(SECOND.multipliedBy(5))).contains("unwell");
        server.now = Duration.ofMillis(900);
        assertThat(server.arrive(1, READ, null)).contains("run 1");
        server.now = Duration.ofMillis(1_001);
        assertThat(server.arrive(2, READ, null)).containsExactly("throttle 2");
    }

    @Test
    void drainAnswersAllBeforeTheKill() {
        busy();
        server.arrive(1, ORDER, null);
        drain(SECOND);
        assertThat(server.beat(Duration.ofMillis(930)))
                .contains("fail 101", "fail 102", "throttle 1", "erase 1");
    }

    @Test
    void fullMemoryThrottlesWhatIsHeld() {
        server.memoryKb = 245;
        busy();
        server.arrive(1, READ, null);
        server.arrive(2, READ, null);
        assertThat(server.arrive(3, READ, null)).containsAnyOf("throttle 3", "last 3").hasSize(1);
    }

    @Test
    void nothingStartsWithoutMemoryToRun() {
        server.memoryKb = 150;
        server.arrive(1, READ, null);
        assertThat(server.arrive(2, READ, null)).isEmpty();
    }

    /** Half a second and more on that limit, all of it with work held back. */
    private static void press(
            AdmissionController.ConcurrencyLimiter limit, int from, int to, double coreUse) {
        for (int i = from; i <= to; i++) {
            limit.observe(
                    Duration.ofMillis(500L * i), new ResourceGauges(coreUse, 6, 0.2, 1), true);
        }
    }

    @Test
    void runLimitStartsAtTheCoresAndClimbsByDoubling() {
        AdmissionController.ConcurrencyLimiter limit =
                new AdmissionController.ConcurrencyLimiter(6, 8, 1, Duration.ZERO, true);
        assertThat(limit.now(Duration.ZERO)).isEqualTo(6);
        press(limit, 1, 2, 0.5);
        assertThat(limit.now(SECOND)).isEqualTo(9);
    }

    @Test
    void runLimitDoesNotClimbOnRoomSeenWhileLessRanThanMay() {
        AdmissionController.ConcurrencyLimiter limit =
                new AdmissionController.ConcurrencyLimiter(6, 8, 1, Duration.ZERO, true);
        limit.observe(Duration.ofMillis(400), new ResourceGauges(0.5, 6, 0.2, 1), false);
        limit.observe(Duration.ofMillis(500), new ResourceGauges(0.5, 6, 0.2, 1), true);
        assertThat(limit.now(SECOND)).isEqualTo(6);
    }

    @Test
    void runLimitStaysUnderTheCrowdThatAColdServerSurvives() {
        AdmissionController.ConcurrencyLimiter limit =
                new AdmissionController.ConcurrencyLimiter(
                        6, 8, 0.2, SECOND.multipliedBy(10), true);
        press(limit, 1, 9, 0.5);
        assertThat(limit.now(Duration.ZERO)).isLessThan((int) (6 * (1 + 7 * 0.2)));
        assertThat(limit.now(SECOND.multipliedBy(10))).isLessThan(48);
    }

    @Test
    void runLimitStepsBackOnlyWhenCompletionsFallOnBusyCores() {
        AdmissionController.ConcurrencyLimiter limit =
                new AdmissionController.ConcurrencyLimiter(6, 8, 1, Duration.ZERO, true);
        press(limit, 1, 1, 0.5);
        for (int i = 0; i < 20; i++) {
            limit.ended();
        }
        press(limit, 2, 2, 0.99);
        assertThat(limit.now(SECOND)).isEqualTo(7);
        for (int i = 0; i < 16; i++) {
            limit.ended();
        }
        press(limit, 5, 5, 0.99);
        assertThat(limit.now(SECOND)).isEqualTo(6);
    }

    @Test
    void callsWaitWhileTheSliceIsUsedUp() {
        server.slice = 0.5; // 150 ms in hand a second
        server.arrive(1, ORDER, null);
        server.arrive(2, ORDER, null);
        assertThat(server.act(server.choice().onCallRequested(new InvocationId(1))))
                .containsExactly("call 1");
        server.now = Duration.ofMillis(250);
        assertThat(server.act(server.choice().onCallRequested(new InvocationId(2)))).isEmpty();
        assertThat(server.endCall(1, CallOutcome.Status.SUCCEEDED)).isEmpty();
        assertThat(server.beat(Duration.ofMillis(1_200))).contains("call 2");
    }

    @Test
    void callsFollowOnWhileTheSliceLasts() {
        server.slice = 5;
        for (long id = 1; id <= 9; id++) {
            server.arrive(id, ORDER, null);
        }
        assertThat(server.act(server.choice().onCallRequested(new InvocationId(1))))
                .contains("call 1");
        assertThat(server.act(server.choice().onCallRequested(new InvocationId(2))))
                .contains("call 2");
    }

    @Test
    void callThatMayHaveRunIsNotMadeAgain() {
        server.arrive(1, ORDER, null);
        server.act(server.choice().onCallRequested(new InvocationId(1)));
        assertThat(server.endCall(1, CallOutcome.Status.TIMED_OUT)).containsExactly("fail 1");
    }

    @Test
    void callThatNeverRanIsMadeAgainOnABeat() {
        server.arrive(1, ORDER, null);
        server.act(server.choice().onCallRequested(new InvocationId(1)));
        assertThat(server.endCall(1, CallOutcome.Status.REJECTED)).isEmpty();
        assertThat(server.beat(Duration.ofMillis(150))).containsExactly("call 1");
    }

    private static final Operation LOOKUP =
            new Operation(
                    "lookup",
                    SideEffect.IDEMPOTENT,
                    SECOND,
                    SECOND.multipliedBy(4),
                    1,
                    0,
                    Duration.ZERO,
                    true,
                    0);

    /** One lookup after another, each long away at its call. */
    private void slowCalls() {
        for (long id = 1; id <= 3; id++) {
            server.arrive(id, LOOKUP, null);
            server.act(server.choice().onCallRequested(new InvocationId(id)));
            server.now = server.now.plusMillis(700);
            server.endCall(id, CallOutcome.Status.SUCCEEDED);
            server.runs
                    .remove(new InvocationId(id))
                    .apply(new RunOutcome(RunOutcome.Status.SUCCEEDED, Duration.ofMillis(800)))
                    .execute(server);
        }
    }

    @Test
    void longCallsCountInWhatFits() {
        slowCalls();
        Operation dear =
                new Operation(
                        "fit",
                        SideEffect.IDEMPOTENT,
                        SECOND.multipliedBy(8),
                        SECOND.multipliedBy(9),
                        1,
                        0,
                        Duration.ZERO,
                        false,
                        0);
        server.arrive(11, dear, null);
        server.arrive(12, dear, null);
        assertThat(server.arrive(13, LOOKUP, null))
                .singleElement()
                .asString()
                .endsWith(" 13")
                .doesNotStartWith("run");
        assertThat(server.arrive(14, READ, null)).isEmpty(); // held: it makes no call
    }

    @Test
    void parkedWorkThatCannotBeInTimeAnyMoreGivesUpItsCall() {
        server.slice = 0.5;
        server.arrive(9, LOOKUP, null);
        server.act(server.choice().onCallRequested(new InvocationId(9)));
        server.now = Duration.ofMillis(100);
        server.endCall(9, CallOutcome.Status.SUCCEEDED);
        server.end(9, RunOutcome.Status.SUCCEEDED);
        for (long id = 1; id <= 2; id++) {
            server.arrive(id, LOOKUP, null);
            server.act(server.choice().onCallRequested(new InvocationId(id)));
        }
        server.beat(Duration.ofMillis(900));
        server.arrive(3, READ, null);
        server.arrive(4, READ, null);
        server.arrive(5, READ, null);
        assertThat(server.beat(Duration.ofMillis(1050)))
                .contains("last 2", "stop 2")
                .doesNotContain("fail 2");
    }

    @Test
    void whoLeavesIsOpenUntilItsGraceIsOver() {
        server.advert = CapacityAdvertisement.ROUTING_PROBABILITY;
        assertThat(server.act(server.choice().onShutdownNotice(SECOND.multipliedBy(3))))
                .containsExactly("unwell");
        assertThat(server.beat(Duration.ofMillis(800)))
                .noneMatch(said -> said.startsWith("advertise"));
        assertThat(server.beat(SECOND)).contains("advertise 0.0");
    }

    @Test
    void whoLeavesSaysTheLongestTimeToComeBack() {
        server.act(server.choice().onShutdownNotice(SECOND.multipliedBy(3)));
        server.now = SECOND.multipliedBy(2);
        assertThat(server.arrive(1, READ, null)).containsExactly("throttle 1");
        assertThat(server.advised).isEqualTo(SECOND);
    }

    @Test
    void blockedRunLeavesItsPlace() {
        busy();
        server.arrive(1, READ, null);
        assertThat(server.act(server.choice().onCallRequested(new InvocationId(101))))
                .containsExactly("call 101", "run 1");
    }

    @Test
    void heldStartByBilledValueOverExpectedWork() {
        busy();
        server.arrive(1, READ, null);
        server.arrive(2, ORDER, null);
        assertThat(server.end(101, RunOutcome.Status.SUCCEEDED)).containsExactly("run 2");
    }

    @Test
    void markedFurtherTryGivesUpSoonerThanAFirst() {
        busy();
        Invocation first = server.inv(1, READ, null);
        Invocation further =
                new Invocation(
                        new InvocationId(2),
                        null,
                        READ,
                        10,
                        Duration.ZERO,
                        first.deadline(),
                        null,
                        first.client(),
                        null,
                        true);
        server.act(server.choice().onInvocationReceived(first));
        server.act(server.choice().onInvocationReceived(further));
        assertThat(server.beat(Duration.ofMillis(1_250)))
                .containsAnyOf("throttle 2", "last 2")
                .doesNotContain("throttle 1", "last 1");
    }

    @Test
    void whoHasMostInTheHoldLosesTheNextPlace() {
        AdmissionController.AdmissionQueue hold =
                new AdmissionController.AdmissionQueue(List.of(), 1, 1, false);
        for (long id : new long[] {1, 3, 5, 2}) {
            hold.held.add(new TrackedInvocation(server.inv(id, READ, null)));
        }
        assertThat(hold.loser(hold.ordered(Duration.ZERO)).inv.id()).isEqualTo(new InvocationId(5));
    }

    @Test
    void whatATenantSendsBeyondItsQuotaCountsLittle() {
        TenantId one = new TenantId("one");
        AdmissionController.AdmissionQueue hold =
                new AdmissionController.AdmissionQueue(
                        List.of(new Tenant(one, 1, 2)), 1, 0.1, false);
        Invocation inv =
                new Invocation(
                        new InvocationId(1),
                        null,
                        READ,
                        1,
                        Duration.ZERO,
                        SECOND,
                        null,
                        new ClientId(1),
                        one,
                        false);
        // Four are due in two seconds, and chance alone brings two more.
        for (int i = 0; i < 7; i++) {
            assertThat(hold.worth(inv, SECOND.multipliedBy(2))).isEqualTo(1);
        }
        assertThat(hold.worth(inv, SECOND.multipliedBy(2))).isEqualTo(0.1);
    }

    @Test
    void twoLateReadingsThrottleIdempotentNewcomersAndOneDoesNot() {
        Invocation old = server.inv(1, READ, null);
        Invocation next = server.inv(2, READ, null);
        server.now = Duration.ofMillis(500);
        assertThat(server.act(server.choice().onInvocationReceived(old))).containsExactly("run 1");
        assertThat(server.act(server.choice().onInvocationReceived(next)))
                .containsAnyOf("throttle 2", "last 2");
    }

    @Test
    void adviceIsNeverLongerThanWhatIsHeeded() {
        AdmissionController.BackpressureAdvertiser signals =
                new AdmissionController.BackpressureAdvertiser(
                        CapacityAdvertisement.NONE, 1, 2, SECOND, SECOND, new SplittableRandom(1));
        assertThat(signals.advice(SECOND.multipliedBy(9))).isEqualTo(SECOND);
        assertThat(signals.advice(Duration.ZERO)).isPositive().isLessThan(SECOND);
    }

    @Test
    void silentConnectionsAreClosedSoonerWhileManyStand() {
        AdmissionController.BackpressureAdvertiser signals =
                new AdmissionController.BackpressureAdvertiser(
                        CapacityAdvertisement.NONE, 1, 2, SECOND, SECOND, new SplittableRandom(1));
        signals.links(server, 99);
        server.now = SECOND;
        signals.links(server, 1);
        assertThat(server.said).containsExactly("idle PT0.5S", "idle PT1S");
    }

    @Test
    void windowClosesWhileTheHoldIsLong() {
        server.advert = CapacityAdvertisement.CLIENT_WINDOW;
        busy();
        for (long id = 1; id < 5; id++) {
            server.arrive(id, READ, null);
        }
        assertThat(server.beat(Duration.ofMillis(100))).contains("advertise " + 12 * 0.9);
    }

    @Test
    void deepJamTurnsHealthBadUntilNothingIsReadLate() {
        server.beat(Duration.ZERO);
        Invocation old = server.inv(1, READ, null);
        Invocation next = server.inv(2, READ, null);
        server.now = Duration.ofMillis(6_500);
        server.act(server.choice().onInvocationReceived(old));
        server.act(server.choice().onInvocationReceived(next));
        assertThat(server.beat(Duration.ofMillis(6_600))).contains("unwell");
        assertThat(server.beat(Duration.ofMillis(7_200))).contains("well");
    }

    @Test
    void stallThrottlesWhatIsHeldButNotTokened() {
        busy();
        server.arrive(1, READ, null);
        server.arrive(2, ORDER, null);
        server.beat(Duration.ofMillis(1_350));
        assertThat(server.said)
                .containsAnyOf("throttle 1", "last 1")
                .doesNotContain("throttle 2", "last 2");
    }

    @Test
    void tokenedInvocationsPassTheJamGuard() {
        busy();
        Invocation old = server.inv(1, ORDER, null);
        server.now = Duration.ofMillis(500);
        assertThat(server.act(server.choice().onInvocationReceived(old))).containsExactly("keep 1");
    }

    @Test
    void twoRepeatsOfOneDroppedShareItsPlace() {
        busy();
        server.arrive(1, ORDER, null);
        server.arrive(2, ORDER, 1L);
        server.arrive(3, ORDER, 1L);
        server.act(server.choice().onClientGone(new InvocationId(1)));
        server.end(101, RunOutcome.Status.SUCCEEDED);
        assertThat(server.end(2, RunOutcome.Status.SUCCEEDED)).contains("replay 3");
    }

    @Test
    void tokenedNewcomerWhoseMarkWouldNotBeKeptIsThrottledAndOthersGoOn() {
        server.keeps = false;
        assertThat(server.arrive(1, ORDER, null)).containsExactly("throttle 1");
        assertThat(server.arrive(2, READ, null)).containsExactly("run 2");
        server.keeps = true;
        assertThat(server.arrive(3, ORDER, null)).containsExactly("keep 3", "run 3");
        server.keeps = false;
        server.end(3, RunOutcome.Status.SUCCEEDED);
        assertThat(server.arrive(4, ORDER, 3L))
                .containsExactly("replay 4"); // a repeat needs no mark of its own
    }

    @Test
    void runThatWasNotBegunForWantOfItsMarkIsThrottledAndItsRepeatTakesItsPlace() {
        server.arrive(1, ORDER, null);
        assertThat(server.arrive(2, ORDER, 1L)).isEmpty();
        assertThat(server.end(1, RunOutcome.Status.NOT_DISPATCHED))
                .containsExactly("erase 1", "keep 2", "throttle 1", "run 2");
        server.arrive(3, ORDER, 2L);
        server.keeps = false;
        assertThat(server.end(2, RunOutcome.Status.NOT_DISPATCHED))
                .hasSize(3)
                .allMatch(said -> said.matches("erase 2|(throttle|last) [23]"));
        assertThat(server.advised).isPositive();
    }

    @Test
    void unmarkedRunOfACallerThatIsGoneIsNotAnswered() {
        server.arrive(1, ORDER, null);
        server.act(server.choice().onClientGone(new InvocationId(1)));
        assertThat(server.end(1, RunOutcome.Status.NOT_DISPATCHED)).containsExactly("erase 1");
    }

    @Test
    void whatAFormerProcessHasRunIsReplayedOrErroredAndNeverRuns() {
        server.act(
                server.choice()
                        .onEntryRestored(
                                new InvocationId(-1),
                                SECOND.multipliedBy(9),
                                RunOutcome.Status.SUCCEEDED));
        server.act(
                server.choice()
                        .onEntryRestored(
                                new InvocationId(-2),
                                SECOND.multipliedBy(9),
                                RunOutcome.Status.FAILED));
        assertThat(server.arrive(1, ORDER, -1L)).containsExactly("replay 1");
        assertThat(server.arrive(2, ORDER, -2L)).containsExactly("fail 2");
    }

    @Test
    void repeatOfARunWhoseEndIsUnknownWaitsForItAndIsErroredWhenDue() {
        server.act(
                server.choice()
                        .onEntryRestored(new InvocationId(-1), SECOND.multipliedBy(9), null));
        server.act(
                server.choice()
                        .onEntryRestored(new InvocationId(-2), SECOND.multipliedBy(9), null));
        assertThat(server.arrive(1, ORDER, -1L)).isEmpty();
        assertThat(server.arrive(2, ORDER, -2L)).isEmpty();
        assertThat(
                        server.act(
                                server.choice()
                                        .onEntryRestored(
                                                new InvocationId(-1),
                                                SECOND.multipliedBy(9),
                                                RunOutcome.Status.SUCCEEDED)))
                .containsExactly("replay 1");
        assertThat(server.beat(SECOND.multipliedBy(4)))
                .contains("fail 2")
                .doesNotContain("throttle 2", "run 2");
    }

    @Test
    void restoredEntriesTakeTheirRoom() {
        server.memoryKb = 100; // four entries of ten
        for (int i = 1; i <= 4; i++) {
            server.act(
                    server.choice()
                            .onEntryRestored(
                                    new InvocationId(-i),
                                    SECOND.multipliedBy(9),
                                    RunOutcome.Status.SUCCEEDED));
        }
        assertThat(server.arrive(1, ORDER, null)).containsExactly("throttle 1");
        server.now = SECOND.multipliedBy(9);
        assertThat(server.arrive(2, ORDER, null))
                .containsExactly("keep 2"); // their windows are over
    }

    @Test
    void runsThatEndWhileTheyAreBegunAreBegunOnce() {
        server.pools.put(ORDER, "far");
        server.free = 0;
        for (long id = 1; id <= 4; id++) {
            server.arrive(id, ORDER, null);
        }
        server.free = 8;
        server.atOnce = RunOutcome.Status.NOT_DISPATCHED;
        assertThat(server.arrive(5, READ, null).stream().filter(said -> said.startsWith("run")))
                .containsExactlyInAnyOrder("run 1", "run 2", "run 3", "run 4", "run 5");
    }

    @Test
    void workOfAPoolNeedsNoCoreAndWaitsForRoomInItsPool() {
        server.pools.put(READ, "far");
        server.arrive(101, ORDER, null);
        server.arrive(102, ORDER, null);
        assertThat(server.arrive(1, READ, null))
                .as("cores are taken, its pool is not")
                .containsExactly("run 1");
        server.free = 0;
        assertThat(server.arrive(2, READ, null)).isEmpty();
        server.end(101, RunOutcome.Status.SUCCEEDED);
        assertThat(server.arrive(3, ORDER, null))
                .as("what waits for a pool holds up nothing else")
                .contains("run 3");
        server.free = 1;
        assertThat(server.end(1, RunOutcome.Status.SUCCEEDED)).containsExactly("run 2");
    }

    @Test
    void withoutAnyWorkerWhatIsHeldForItIsThrottledAtOnce() {
        server.pools.put(READ, "far");
        server.places = server.free = 0;
        assertThat(server.arrive(1, READ, null))
                .hasSize(1)
                .allMatch(said -> said.matches("(throttle|last) 1"));
        assertThat(server.advised).isPositive();
        assertThat(server.arrive(2, ORDER, null)).containsExactly("keep 2", "run 2");
    }

    @Test
    void slowPoolDoesNotMakeTheCoresLookStalled() {
        server.pools.put(ORDER, "far");
        server.arrive(1, ORDER, null);
        server.beat(SECOND.multipliedBy(3));
        assertThat(server.arrive(2, READ, null)).containsExactly("run 2");
    }

    @Test
    void operationThatWasNeverMeasuredIsNotKeptOutByItsGuess() {
        busy();
        for (long id : new long[] {101, 102}) {
            server.act(
                    server.runs
                            .remove(new InvocationId(id))
                            .apply(
                                    new RunOutcome(
                                            RunOutcome.Status.SUCCEEDED, Duration.ofMillis(4))));
        }
        server.arrive(103, READ, null);
        server.arrive(104, READ, null);
        server.arrive(1, READ, null);
        server.arrive(2, ORDER, null);
        assertThat(server.end(103, RunOutcome.Status.SUCCEEDED))
                .as("reads proved fast, so may orders")
                .containsExactly("run 2");
    }

    @Test
    void heldOnesOfEqualRateAreOrderedByTurnsOfTheirCallers() {
        AdmissionController.AdmissionQueue hold =
                new AdmissionController.AdmissionQueue(List.of(), 1, 1, false);
        for (long id : new long[] {2, 4, 6, 1, 8, 3}) {
            hold.held.add(
                    new TrackedInvocation(server.inv(id, READ, null))); // callers: even and odd
        }
        assertThat(hold.ordered(server.now).stream().map(work -> work.inv.id().value()))
                .containsExactly(1L, 2L, 3L, 4L, 6L, 8L);
        hold.held.add(new TrackedInvocation(server.inv(10, ORDER, null)));
        assertThat(hold.ordered(server.now).get(0).inv.id().value())
                .as("a higher rate goes first whoever sent it")
                .isEqualTo(10);
    }
}
