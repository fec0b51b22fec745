package ochretiller.drill;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import java.util.function.Predicate;
import ochretiller.emulator.fleet.FleetScenario;
import ochretiller.emulator.fleet.FleetScenarioReader;
import ochretiller.fakes.FakeConnection;
import ochretiller.fakes.GatewayMessages;

/**
 * Runs keyed invocations one at a time in a fleet of three servers with disk stores. The owner is
 * killed, paused or cut off at some step, which is detected rather than timed, and the request is
 * repeated at each server, at once and later. Each case checks the outcomes that it expects.
 */
final class FailoverScenario implements AutoCloseable {
    /** Limit of each wait; longer than a server start under load and than a token is kept. */
    private static final long TIMEOUT_S = 40;

    /** Delay before a request is sent again. */
    private static final long RETRY_MS = 200;

    private final ScenarioRunner runner;
    private final Consumer<String> progress;
    private final AtomicInteger counter = new AtomicInteger();

    /** Number of runs begun by request body, which is the token in all cases but one. */
    private final Map<String, Integer> runCounts = new ConcurrentHashMap<>();

    private final BlockingQueue<Runnable> pendingCompletions = new LinkedBlockingQueue<>();
    private final List<String> violations = new ArrayList<>();

    /** Completes the run that was begun last. */
    private Runnable completion;

    /**
     * @param replicationEnabled if false, the servers are independent, and cases must fail
     */
    FailoverScenario(Path folder, boolean replicationEnabled, Consumer<String> progress)
            throws IOException {
        this.progress = progress;
        FleetScenario scenario =
                FleetScenarioReader.parse(
                        """
                        { name: 'steps', seconds: 1, members: 3, zones: 3, seeds: 3, copies: true, store: true }\
                        """,
                        "steps");
        runner = new ScenarioRunner(scenario, 1, folder, true, replicationEnabled, progress);
    }

    /** Runs all cases and returns the violations, one line each. */
    List<String> run() throws Exception {
        runner.startServers((slot, body) -> recordRun(body));
        ownerKilledWithClaimInTransit();
        ownerKilledDuringRun();
        ownerKilledAfterAnswer();
        ownerKilledAsRunCompletes();
        ownerPausedDuringRun();
        concurrentRequests(false);
        concurrentRequests(true);
        longResult();
        windowExpiresDuringPartition();
        serverClaimMode();
        replicaDiskFillsDuringRun();
        allServersKilledAfterAnswer();
        return violations;
    }

    /**
     * Sends a keyed request to one server, kills it and repeats the request at another, printing
     * each event. Returns whether both results were equal and the request was run once.
     */
    boolean runExample(Consumer<String> out) throws Exception {
        runner.startServers(
                (slot, body) -> {
                    recordRun(body);
                    out.accept("m" + slot + "'s processor runs " + body);
                });
        String token = beginCase("example");
        String firstOutcome = retry(1, token, token, outcome -> outcome.startsWith("succeeded"));
        out.accept("m1 answers: " + describe(firstOutcome));
        runner.server(1).kill();
        out.accept("m1 is killed with SIGKILL");
        String secondOutcome = retry(2, token, token, outcome -> outcome.startsWith("succeeded"));
        out.accept("m2 answers the repeat: " + describe(secondOutcome));
        out.accept("runs of it in the fleet: " + runCount(token));
        return firstOutcome.equals(secondOutcome) && runCount(token) == 1;
    }

    private static String describe(String outcome) {
        int space = outcome.indexOf(' ');
        return space < 0
                ? outcome
                : outcome.substring(0, space)
                        + ", "
                        + new String(
                                Base64.getDecoder().decode(outcome.substring(space + 1)),
                                StandardCharsets.ISO_8859_1);
    }

    // ---- the cases

    /**
     * The replicas receive the claim only after the owner was killed. Once it is back, its disk
     * proves that no run was begun.
     */
    private void ownerKilledWithClaimInTransit() throws Exception {
        String token = beginCase("claim on the way");
        runner.server(2).pause();
        runner.server(3).pause();
        sendRequest(1, token, token);
        // The claim may or may not have reached the replicas' sockets by then; the outcome must be
        // right in both cases.
        Thread.sleep(RETRY_MS / 4);
        runner.server(1).kill();
        runner.server(2).resume();
        runner.server(3).resume();
        String repeat = awaitOutcome(sendRequest(2, token, token));
        check(
                token,
                !repeat.startsWith("succeeded") || runCount(token) == 1,
                "the repeat elsewhere: " + repeat);
        restart(1);
        String recovered = retry(2, token, token, outcome -> outcome.startsWith("succeeded"));
        check(token, recovered.startsWith("succeeded"), "once the owner is back: " + recovered);
        check(token, runCount(token) == 1, "runs: " + runCount(token));
    }

    private void ownerKilledDuringRun() throws Exception {
        String token = beginCase("run under way");
        startRunAt(1, token);
        runner.server(1).kill();
        for (int slot : new int[] {2, 3}) {
            String repeat = awaitOutcome(sendRequest(slot, token, token));
            check(token, repeat.equals("errored"), "the repeat at " + slot + ": " + repeat);
        }
        restart(1);
        String recovered = retry(3, token, token, outcome -> outcome.equals("errored"));
        check(token, recovered.equals("errored"), "once the owner is back: " + recovered);
        check(token, runCount(token) == 1, "runs: " + runCount(token));
    }

    private void ownerKilledAfterAnswer() throws Exception {
        String token = beginCase("answered");
        String first = retry(1, token, token, outcome -> outcome.startsWith("succeeded"));
        check(token, first.startsWith("succeeded"), "the first: " + first);
        runner.server(1).kill();
        for (int slot : new int[] {2, 3}) {
            checkSameResult(token, first, slot);
        }
        restart(1);
        checkSameResult(token, first, 1);
        check(token, runCount(token) == 1, "runs: " + runCount(token));
    }

    /**
     * Kills the owner as its run completes. Whatever it had sent about that, all repeats must get
     * the same answer.
     */
    private void ownerKilledAsRunCompletes() throws Exception {
        String token = beginCase("ends");
        startRunAt(1, token);
        completion.run();
        runner.server(1).kill();
        String afterKill = retry(2, token, token, outcome -> !outcome.equals("throttled"));
        restart(1);
        for (int slot : new int[] {1, 2, 3}) {
            String repeat = retry(slot, token, token, outcome -> !outcome.equals("throttled"));
            check(
                    token,
                    repeat.equals(afterKill) || !afterKill.startsWith("succeeded"),
                    "the repeat at " + slot + ": " + repeat + ", and before " + afterKill);
        }
        check(token, runCount(token) == 1, "runs: " + runCount(token));
    }

    private void ownerPausedDuringRun() throws Exception {
        String token = beginCase("paused");
        BlockingQueue<String> ownerAnswer = startRunAt(1, token);
        runner.server(1).pause();
        String duringPause = awaitOutcome(sendRequest(2, token, token));
        check(token, duringPause.equals("errored"), "the repeat meanwhile: " + duringPause);
        completion.run();
        runner.server(1).resume();
        String ownerOutcome = awaitOutcome(ownerAnswer);
        check(
                token,
                !ownerOutcome.equals("throttled"),
                "the owner's own answer: " + ownerOutcome); // late or not, the request was run
        String afterResume = retry(3, token, token, outcome -> outcome.startsWith("succeeded"));
        check(token, afterResume.startsWith("succeeded"), "once it was let go: " + afterResume);
        check(token, runCount(token) == 1, "runs: " + runCount(token));
    }

    private void concurrentRequests(boolean differentBodies) throws Exception {
        String token = beginCase(differentBodies ? "two bodies at once" : "two at once");
        BlockingQueue<String> firstAnswer = sendRequest(2, token, token);
        BlockingQueue<String> secondAnswer =
                sendRequest(3, token, differentBodies ? "other" : token);
        String first = awaitOutcome(firstAnswer);
        String second = awaitOutcome(secondAnswer);
        if (differentBodies) {
            check(
                    token,
                    !(first.startsWith("succeeded") && second.startsWith("succeeded")),
                    "two bodies: " + first + ", " + second);
        } else {
            String later = retry(1, token, token, outcome -> outcome.startsWith("succeeded"));
            for (String outcome : new String[] {first, second}) {
                check(
                        token,
                        !outcome.startsWith("succeeded") || outcome.equals(later),
                        "two at once: " + outcome + ", then " + later);
            }
            check(token, runCount(token) == 1, "runs: " + runCount(token));
        }
    }

    /** All servers replay a result that is sent in fragments, also after the owner was killed. */
    private void longResult() throws Exception {
        String token = beginCase("long result");
        runner.server(1).resultPaddingChars = 60_000;
        String first = retry(1, token, token, outcome -> outcome.startsWith("succeeded"));
        runner.server(1).resultPaddingChars = 0;
        check(
                token,
                first.startsWith("succeeded") && first.length() > 60_000,
                "the first: " + first.length() + " characters");
        checkSameResult(token, first, 2);
        runner.server(1).kill();
        checkSameResult(token, first, 3);
        restart(1);
        check(token, runCount(token) == 1, "runs: " + runCount(token));
    }

    /**
     * When a partition heals, a token whose window has expired must not be restored by the side
     * that received its last update.
     */
    private void windowExpiresDuringPartition() throws Exception {
        String token = beginCase("window ends in a cut");
        String first = retry(1, token, token, outcome -> outcome.startsWith("succeeded"));
        for (int slot : new int[] {1, 2, 3}) {
            check(token, awaitTokenState(slot, token, true), "not kept at " + slot);
        }
        runner.isolate(Set.of(3));
        for (int slot : new int[] {1, 2, 3}) {
            check(token, awaitTokenState(slot, token, false), "kept past its window at " + slot);
        }
        runner.isolate(Set.of());
        runner.compareReplicas();
        for (int slot : new int[] {1, 2, 3}) {
            check(token, !hasTokenState(slot, token), "back to life at " + slot);
        }
        check(token, runCount(token) == 1, "runs: " + runCount(token));
    }

    /** Waits until a server has state of the token, or has none; false after the timeout. */
    private boolean awaitTokenState(int slot, String token, boolean expected) throws Exception {
        for (long deadlineNanos = System.nanoTime() + TIMEOUT_S * 1_000_000_000L;
                System.nanoTime() < deadlineNanos;
                Thread.sleep(RETRY_MS)) {
            if (hasTokenState(slot, token) == expected) {
                return true;
            }
        }
        return false;
    }

    private boolean hasTokenState(int slot, String token) {
        JsonNode response = runner.adminRequest(runner.server(slot), "copies-show", token);
        if (response == null) {
            violations.add(token + ": server " + slot + " did not tell what it keeps");
        }
        return response != null
                && response.path("claims").size() + response.path("ends").size() > 0;
    }

    /**
     * One server is restarted in claim mode {@code server}, the others stay in mode {@code fleet}.
     * It must respect tokens that the fleet knows and run nothing without a claim.
     */
    private void serverClaimMode() throws Exception {
        String oldToken = beginCase("server mode, a token of the fleet");
        String first = retry(1, oldToken, oldToken, outcome -> outcome.startsWith("succeeded"));
        String openToken = beginCase("server mode, a run under way");
        startRunAt(1, openToken);
        Runnable runCompletion = completion;
        runner.server(3).kill();
        runner.server(3).claimMode = "server";
        restart(3);
        checkSameResult(oldToken, first, 3);
        String repeat = awaitOutcome(sendRequest(3, openToken, openToken));
        check(
                openToken,
                repeat.equals("errored"),
                "the repeat at the server that claims no more: " + repeat);
        runCompletion.run();
        retry(3, openToken, openToken, outcome -> outcome.startsWith("succeeded"));
        check(openToken, runCount(openToken) == 1, "runs: " + runCount(openToken));
        check(oldToken, runCount(oldToken) == 1, "runs: " + runCount(oldToken));
        String newToken = beginCase("server mode, a new token");
        String newResult = retry(3, newToken, newToken, outcome -> outcome.startsWith("succeeded"));
        checkSameResult(newToken, newResult, 3);
        checkSameResult(newToken, newResult, 1);
        check(newToken, runCount(newToken) == 1, "runs: " + runCount(newToken));
        String cutToken = beginCase("server mode, keepers that do not answer");
        runner.isolate(Set.of(3));
        String duringCut = awaitOutcome(sendRequest(3, cutToken, cutToken));
        check(
                cutToken,
                duringCut.equals("throttled") && runCount(cutToken) == 0,
                "cut off from the keepers: " + duringCut);
        runner.isolate(Set.of());
        runner.server(3).kill();
        runner.server(3).claimMode = "fleet";
        restart(3);
        retry(3, beginCase("server mode, over"), "over", result -> result.startsWith("succeeded"));
    }

    /**
     * A replica's disk fills up. The other two are a majority, and what the replica acknowledged
     * before stays valid.
     */
    private void replicaDiskFillsDuringRun() throws Exception {
        String token = beginCase("a keeper's disk is full");
        startRunAt(1, token);
        Runnable runCompletion = completion;
        runner.server(2).setDiskFault("full");
        runCompletion.run();
        String whileFull = retry(3, token, token, outcome -> outcome.startsWith("succeeded"));
        check(token, whileFull.startsWith("succeeded"), "while it is full: " + whileFull);
        runner.server(2).setDiskFault("stall");
        checkSameResult(token, whileFull, 3);
        runner.server(2).setDiskFault(null);
        checkSameResult(token, whileFull, 2);
        check(token, runCount(token) == 1, "runs: " + runCount(token));
    }

    private void allServersKilledAfterAnswer() throws Exception {
        String token = beginCase("all killed");
        String first = retry(1, token, token, outcome -> outcome.startsWith("succeeded"));
        check(token, first.startsWith("succeeded"), "the first: " + first);
        for (int slot : new int[] {1, 2, 3}) {
            runner.server(slot).kill();
        }
        for (int slot : new int[] {1, 2, 3}) {
            runner.restart(slot);
        }
        for (int slot : new int[] {1, 2, 3}) {
            runner.server(slot).awaitReady();
        }
        for (int slot : new int[] {3, 2, 1}) {
            checkSameResult(token, first, slot);
        }
        check(token, runCount(token) == 1, "runs: " + runCount(token));
    }

    // ---- helpers

    private String beginCase(String name) {
        progress.accept("step: " + name);
        return String.format(Locale.ROOT, "%032x", counter.incrementAndGet() * 0x9E3779B97F4AL);
    }

    private void check(String token, boolean condition, String message) {
        if (!condition) {
            violations.add(token + ": " + message);
        }
    }

    private void recordRun(String token) {
        runCounts.merge(token, 1, Integer::sum);
    }

    private int runCount(String token) {
        return runCounts.getOrDefault(token, 0);
    }

    /** Sends a request whose run begins but completes only when {@link #completion} is run. */
    private BlockingQueue<String> startRunAt(int slot, String token) throws Exception {
        pendingCompletions.clear();
        runner.server(slot).completionHandler = pendingCompletions::add;
        BlockingQueue<String> answer = sendRequest(slot, token, token);
        // A server that was just restarted may throttle the first request; it began no run then,
        // and the request is sent again.
        for (int i = 0;
                i < TIMEOUT_S
                        && (completion = pendingCompletions.poll(1, TimeUnit.SECONDS)) == null;
                i++) {
            if (!answer.isEmpty()) {
                answer = sendRequest(slot, token, token);
            }
        }
        runner.server(slot).completionHandler = Runnable::run;
        if (completion == null) {
            throw new IOException("server " + slot + " began no run of token " + token);
        }
        return answer;
    }

    private void restart(int slot) throws Exception {
        runner.restart(slot);
        if (!runner.server(slot).awaitReady()) {
            throw new IOException("server " + slot + " was not ready in time");
        }
    }

    private void checkSameResult(String token, String first, int slot) throws Exception {
        String outcome = retry(slot, token, token, candidate -> candidate.startsWith("succeeded"));
        check(
                token,
                outcome.equals(first),
                "the repeat at "
                        + slot
                        + ": "
                        + (outcome.length() > 200 ? outcome.length() + " characters" : outcome));
    }

    /** Repeats a request until its outcome is accepted; returns the last one on a timeout. */
    private String retry(int slot, String token, String body, Predicate<String> accepted)
            throws Exception {
        String outcome = "nothing";
        for (long deadlineNanos = System.nanoTime() + TIMEOUT_S * 1_000_000_000L;
                System.nanoTime() < deadlineNanos; ) {
            try {
                outcome = awaitOutcome(sendRequest(slot, token, body));
                if (accepted.test(outcome)) {
                    return outcome;
                }
            } catch (IOException e) {
                outcome = "no connection";
            }
            Thread.sleep(RETRY_MS);
        }
        return outcome;
    }

    private static String awaitOutcome(BlockingQueue<String> answer) throws InterruptedException {
        String outcome = answer.poll(TIMEOUT_S, TimeUnit.SECONDS);
        return outcome == null ? "none" : outcome;
    }

    private BlockingQueue<String> sendRequest(int slot, String token, String body)
            throws IOException {
        BlockingQueue<String> answer = new LinkedBlockingQueue<>();
        int number = counter.incrementAndGet();
        FakeConnection connection =
                new FakeConnection(
                        new Socket(
                                InetAddress.getLoopbackAddress(), runner.server(slot).clientPort));
        connection.send(
                GatewayMessages.message(
                        number,
                        "order",
                        GatewayMessages.params(String.format("%016x", number), token, body)));
        Thread reader =
                new Thread(
                        () -> {
                            try (connection) {
                                String line = connection.readLine();
                                int dataAt = line == null ? -1 : line.indexOf("\"data\":\"");
                                if (line == null) {
                                    answer.add("broken");
                                } else if (line.contains("\"result\"")) {
                                    answer.add(
                                            "succeeded "
                                                    + line.substring(
                                                            dataAt + 8,
                                                            line.indexOf('"', dataAt + 8)));
                                } else {
                                    answer.add(line.contains("-32014") ? "throttled" : "errored");
                                }
                            } catch (IOException e) {
                                answer.add("broken");
                            }
                        },
                        "ask");
        reader.setDaemon(true);
        reader.start();
        return answer;
    }

    @Override
    public void close() throws IOException {
        runner.close();
    }
}
