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
 * One keyed invocation at a time in a fleet of three servers with disks: its owner is killed,
 * paused or cut off at a step of it, by what is seen of that step and not by the clock, and its
 * repeats go to each server, at once and later. Each case says what has to come out.
 */
final class FailoverScenario implements AutoCloseable {
    /**
     * Long enough for a start under load, for what has to come to do so, and for a window that
     * keepers have of a token.
     */
    private static final long WITHIN_S = 40;

    /** A repeat that is told to come again does so after this. */
    private static final long AGAIN_MS = 200;

    private final ScenarioRunner stage;
    private final Consumer<String> progress;
    private final AtomicInteger numbers = new AtomicInteger();

    /** Runs that were begun, by what was asked for: of all but one case that is the token. */
    private final Map<String, Integer> runs = new ConcurrentHashMap<>();

    private final BlockingQueue<Runnable> held = new LinkedBlockingQueue<>();
    private final List<String> broken = new ArrayList<>();

    /** Lets the run that was begun last end. */
    private Runnable end;

    /**
     * @param copiesOn without it each server is for itself, and the steps have to be seen to break
     */
    FailoverScenario(Path folder, boolean copiesOn, Consumer<String> progress) throws IOException {
        this.progress = progress;
        FleetScenario script =
                FleetScenarioReader.of(
                        """
                        { name: 'steps', seconds: 1, members: 3, zones: 3, seeds: 3, copies: true, store: true }\
                        """,
                        "steps");
        stage = new ScenarioRunner(script, 1, folder, true, copiesOn, progress);
    }

    /** Plays all of it; what was broken, a line each. */
    List<String> play() throws Exception {
        stage.raise((slot, body) -> ran(body));
        killedWithItsClaimOnTheWay();
        killedAsItRuns();
        killedBehindItsAnswer();
        killedAsItEnds();
        pausedAsItRuns();
        twoAtOnce(false);
        twoAtOnce(true);
        longResult();
        windowEndsInACut();
        serverMode();
        diskFillsAsItRuns();
        allKilledBehindTheAnswer();
        return broken;
    }

    /**
     * A keyed request at one server, which is then killed, and its repeat at another, shown as they
     * happen; whether they were alike.
     */
    boolean example(Consumer<String> out) throws Exception {
        stage.raise(
                (slot, body) -> {
                    ran(body);
                    out.accept("m" + slot + "'s processor runs " + body);
                });
        String token = token("example");
        String first = until(1, token, token, how -> how.startsWith("succeeded"));
        out.accept("m1 answers: " + plain(first));
        stage.box(1).kill();
        out.accept("m1 is killed with SIGKILL");
        String second = until(2, token, token, how -> how.startsWith("succeeded"));
        out.accept("m2 answers the repeat: " + plain(second));
        out.accept("runs of it in the fleet: " + runs(token));
        return first.equals(second) && runs(token) == 1;
    }

    private static String plain(String how) {
        int space = how.indexOf(' ');
        return space < 0
                ? how
                : how.substring(0, space)
                        + ", "
                        + new String(
                                Base64.getDecoder().decode(how.substring(space + 1)),
                                StandardCharsets.ISO_8859_1);
    }

    // ---- the cases

    /**
     * The keepers hear of its claim only when it is gone; once it is back its disk proves that
     * nothing was begun.
     */
    private void killedWithItsClaimOnTheWay() throws Exception {
        String token = token("claim on the way");
        stage.box(2).pause();
        stage.box(3).pause();
        ask(1, token, token);
        Thread.sleep(
                AGAIN_MS / 4); // the claim is in the keepers' sockets by then, or it is not: both
        // have to come out well
        stage.box(1).kill();
        stage.box(2).resume();
        stage.box(3).resume();
        String first = answer(ask(2, token, token));
        need(
                token,
                !first.startsWith("succeeded") || runs(token) == 1,
                "the repeat elsewhere: " + first);
        restart(1);
        String second = until(2, token, token, how -> how.startsWith("succeeded"));
        need(token, second.startsWith("succeeded"), "once the owner is back: " + second);
        need(token, runs(token) == 1, "runs: " + runs(token));
    }

    private void killedAsItRuns() throws Exception {
        String token = token("run under way");
        begunAt(1, token);
        stage.box(1).kill();
        for (int slot : new int[] {2, 3}) {
            String how = answer(ask(slot, token, token));
            need(token, how.equals("errored"), "the repeat at " + slot + ": " + how);
        }
        restart(1);
        String later = until(3, token, token, how -> how.equals("errored"));
        need(token, later.equals("errored"), "once the owner is back: " + later);
        need(token, runs(token) == 1, "runs: " + runs(token));
    }

    private void killedBehindItsAnswer() throws Exception {
        String token = token("answered");
        String first = until(1, token, token, how -> how.startsWith("succeeded"));
        need(token, first.startsWith("succeeded"), "the first: " + first);
        stage.box(1).kill();
        for (int slot : new int[] {2, 3}) {
            same(token, first, slot);
        }
        restart(1);
        same(token, first, 1);
        need(token, runs(token) == 1, "runs: " + runs(token));
    }

    /**
     * Killed in the moment in which its run ends: whatever it had told of that, all repeats are
     * answered alike.
     */
    private void killedAsItEnds() throws Exception {
        String token = token("ends");
        begunAt(1, token);
        end.run();
        stage.box(1).kill();
        String second = until(2, token, token, how -> !how.equals("throttled"));
        restart(1);
        for (int slot : new int[] {1, 2, 3}) {
            String how = until(slot, token, token, each -> !each.equals("throttled"));
            need(
                    token,
                    how.equals(second) || !second.startsWith("succeeded"),
                    "the repeat at " + slot + ": " + how + ", and before " + second);
        }
        need(token, runs(token) == 1, "runs: " + runs(token));
    }

    private void pausedAsItRuns() throws Exception {
        String token = token("paused");
        BlockingQueue<String> first = begunAt(1, token);
        stage.box(1).pause();
        String meanwhile = answer(ask(2, token, token));
        need(token, meanwhile.equals("errored"), "the repeat meanwhile: " + meanwhile);
        end.run();
        stage.box(1).resume();
        String late = answer(first);
        need(
                token,
                !late.equals("throttled"),
                "the owner's own answer: " + late); // in time or not: it ran
        String second = until(3, token, token, how -> how.startsWith("succeeded"));
        need(token, second.startsWith("succeeded"), "once it was let go: " + second);
        need(token, runs(token) == 1, "runs: " + runs(token));
    }

    private void twoAtOnce(boolean otherBody) throws Exception {
        String token = token(otherBody ? "two bodies at once" : "two at once");
        BlockingQueue<String> one = ask(2, token, token);
        BlockingQueue<String> two = ask(3, token, otherBody ? "other" : token);
        String first = answer(one);
        String second = answer(two);
        if (otherBody) {
            need(
                    token,
                    !(first.startsWith("succeeded") && second.startsWith("succeeded")),
                    "two bodies: " + first + ", " + second);
        } else {
            String last = until(1, token, token, how -> how.startsWith("succeeded"));
            for (String each : new String[] {first, second}) {
                need(
                        token,
                        !each.startsWith("succeeded") || each.equals(last),
                        "two at once: " + each + ", then " + last);
            }
            need(token, runs(token) == 1, "runs: " + runs(token));
        }
    }

    /** A result that goes by pieces, at all servers, and behind the owner's end. */
    private void longResult() throws Exception {
        String token = token("long result");
        stage.box(1).longer = 60_000;
        String first = until(1, token, token, how -> how.startsWith("succeeded"));
        stage.box(1).longer = 0;
        need(
                token,
                first.startsWith("succeeded") && first.length() > 60_000,
                "the first: " + first.length() + " characters");
        same(token, first, 2);
        stage.box(1).kill();
        same(token, first, 3);
        restart(1);
        need(token, runs(token) == 1, "runs: " + runs(token));
    }

    /**
     * What is past its window when a cut heals is not brought back to life by the side that heard
     * of it last.
     */
    private void windowEndsInACut() throws Exception {
        String token = token("window ends in a cut");
        String first = until(1, token, token, how -> how.startsWith("succeeded"));
        for (int slot : new int[] {1, 2, 3}) {
            need(token, keeps(slot, token, true), "not kept at " + slot);
        }
        stage.cut(Set.of(3));
        for (int slot : new int[] {1, 2, 3}) {
            need(token, keeps(slot, token, false), "kept past its window at " + slot);
        }
        stage.cut(Set.of());
        stage.compared();
        for (int slot : new int[] {1, 2, 3}) {
            need(token, !keeps(slot, token), "back to life at " + slot);
        }
        need(token, runs(token) == 1, "runs: " + runs(token));
    }

    /** Within a bounded time: whether a server keeps something of the token, or no longer does. */
    private boolean keeps(int slot, String token, boolean wanted) throws Exception {
        for (long until = System.nanoTime() + WITHIN_S * 1_000_000_000L;
                System.nanoTime() < until;
                Thread.sleep(AGAIN_MS)) {
            if (keeps(slot, token) == wanted) {
                return true;
            }
        }
        return false;
    }

    private boolean keeps(int slot, String token) {
        JsonNode told = stage.door(stage.box(slot), "copies-show", token);
        if (told == null) {
            broken.add(token + ": server " + slot + " did not tell what it keeps");
        }
        return told != null && told.path("claims").size() + told.path("ends").size() > 0;
    }

    /**
     * One server is to claim no more, and others still do: tokens of the fleet stay the fleet's
     * there, and nothing runs unclaimed.
     */
    private void serverMode() throws Exception {
        String before = token("server mode, a token of the fleet");
        String first = until(1, before, before, how -> how.startsWith("succeeded"));
        String open = token("server mode, a run under way");
        begunAt(1, open);
        Runnable ends = end;
        stage.box(3).kill();
        stage.box(3).mode = "server";
        restart(3);
        same(before, first, 3);
        String how = answer(ask(3, open, open));
        need(open, how.equals("errored"), "the repeat at the server that claims no more: " + how);
        ends.run();
        until(3, open, open, each -> each.startsWith("succeeded"));
        need(open, runs(open) == 1, "runs: " + runs(open));
        need(before, runs(before) == 1, "runs: " + runs(before));
        String own = token("server mode, a new token");
        String here = until(3, own, own, each -> each.startsWith("succeeded"));
        same(own, here, 3);
        same(own, here, 1);
        need(own, runs(own) == 1, "runs: " + runs(own));
        String unsure = token("server mode, keepers that do not answer");
        stage.cut(Set.of(3));
        String apart = answer(ask(3, unsure, unsure));
        need(
                unsure,
                apart.equals("throttled") && runs(unsure) == 0,
                "cut off from the keepers: " + apart);
        stage.cut(Set.of());
        stage.box(3).kill();
        stage.box(3).mode = "fleet";
        restart(3);
        until(3, token("server mode, over"), "over", each -> each.startsWith("succeeded"));
    }

    /**
     * A keeper's disk is full: the other two are a majority, and what the full one has said before
     * is true behind it.
     */
    private void diskFillsAsItRuns() throws Exception {
        String token = token("a keeper's disk is full");
        begunAt(1, token);
        Runnable ends = end;
        stage.box(2).diskIs("full");
        ends.run();
        String second = until(3, token, token, how -> how.startsWith("succeeded"));
        need(token, second.startsWith("succeeded"), "while it is full: " + second);
        stage.box(2).diskIs("stall");
        same(token, second, 3);
        stage.box(2).diskIs(null);
        same(token, second, 2);
        need(token, runs(token) == 1, "runs: " + runs(token));
    }

    private void allKilledBehindTheAnswer() throws Exception {
        String token = token("all killed");
        String first = until(1, token, token, how -> how.startsWith("succeeded"));
        need(token, first.startsWith("succeeded"), "the first: " + first);
        for (int slot : new int[] {1, 2, 3}) {
            stage.box(slot).kill();
        }
        for (int slot : new int[] {1, 2, 3}) {
            stage.again(slot);
        }
        for (int slot : new int[] {1, 2, 3}) {
            stage.box(slot).awaitPart();
        }
        for (int slot : new int[] {3, 2, 1}) {
            same(token, first, slot);
        }
        need(token, runs(token) == 1, "runs: " + runs(token));
    }

    // ---- what they are made of

    private String token(String name) {
        progress.accept("step: " + name);
        return String.format(Locale.ROOT, "%032x", numbers.incrementAndGet() * 0x9E3779B97F4AL);
    }

    private void need(String token, boolean good, String what) {
        if (!good) {
            broken.add(token + ": " + what);
        }
    }

    private void ran(String token) {
        runs.merge(token, 1, Integer::sum);
    }

    private int runs(String token) {
        return runs.getOrDefault(token, 0);
    }

    /** Asks one whose run is begun and does not end. */
    private BlockingQueue<String> begunAt(int slot, String token) throws Exception {
        held.clear();
        stage.box(slot).ends = held::add;
        BlockingQueue<String> answer = ask(slot, token, token);
        // A server that has just come back may throttle the first: nothing was begun then, and it
        // is asked again.
        for (int i = 0; i < WITHIN_S && (end = held.poll(1, TimeUnit.SECONDS)) == null; i++) {
            if (!answer.isEmpty()) {
                answer = ask(slot, token, token);
            }
        }
        stage.box(slot).ends = Runnable::run;
        if (end == null) {
            throw new IOException("nothing was begun");
        }
        return answer;
    }

    private void restart(int slot) throws Exception {
        stage.again(slot);
        if (!stage.box(slot).awaitPart()) {
            throw new IOException("server " + slot + " did not start");
        }
    }

    private void same(String token, String first, int slot) throws Exception {
        String how = until(slot, token, token, each -> each.startsWith("succeeded"));
        need(
                token,
                how.equals(first),
                "the repeat at "
                        + slot
                        + ": "
                        + (how.length() > 200 ? how.length() + " characters" : how));
    }

    /** Asks again and again until an answer is as it has to become. */
    private String until(int slot, String token, String body, Predicate<String> enough)
            throws Exception {
        String how = "nothing";
        for (long until = System.nanoTime() + WITHIN_S * 1_000_000_000L;
                System.nanoTime() < until; ) {
            try {
                how = answer(ask(slot, token, body));
                if (enough.test(how)) {
                    return how;
                }
            } catch (IOException e) {
                how = "no connection";
            }
            Thread.sleep(AGAIN_MS);
        }
        return how;
    }

    private static String answer(BlockingQueue<String> from) throws InterruptedException {
        String how = from.poll(WITHIN_S, TimeUnit.SECONDS);
        return how == null ? "none" : how;
    }

    private BlockingQueue<String> ask(int slot, String token, String body) throws IOException {
        BlockingQueue<String> answer = new LinkedBlockingQueue<>();
        int number = numbers.incrementAndGet();
        FakeConnection wire =
                new FakeConnection(
                        new Socket(InetAddress.getLoopbackAddress(), stage.box(slot).serves));
        wire.send(
                GatewayMessages.message(
                        number,
                        "order",
                        GatewayMessages.params(String.format("%016x", number), token, body)));
        Thread reader =
                new Thread(
                        () -> {
                            try (wire) {
                                String line = wire.line();
                                int at = line == null ? -1 : line.indexOf("\"data\":\"");
                                if (line == null) {
                                    answer.add("broken");
                                } else if (line.contains("\"result\"")) {
                                    answer.add(
                                            "succeeded "
                                                    + line.substring(
                                                            at + 8, line.indexOf('"', at + 8)));
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
        stage.close();
    }
}
