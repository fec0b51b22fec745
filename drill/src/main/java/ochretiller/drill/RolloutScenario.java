package ochretiller.drill;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import java.util.function.Predicate;
import ochretiller.audit.AuditRecord;
import ochretiller.audit.ChainHead;
import ochretiller.audit.FleetTimeline;
import ochretiller.audit.VersionStatus;
import ochretiller.audit.files.AuditLog;
import ochretiller.audit.files.AuditLogReader;
import ochretiller.emulator.fleet.FleetScenario;
import ochretiller.emulator.fleet.FleetScenarioReader;
import ochretiller.fakes.DaemonThreads;
import ochretiller.fakes.FakeConnection;
import ochretiller.fakes.FakeWorker;
import ochretiller.fakes.GatewayMessages;

/**
 * Versions that are brought out to servers whose pools have stand-ins for workers, while callers
 * read: one after the other, with a fault at a step of each, put on by what is seen of that step.
 * Each case says what has to come out.
 */
final class RolloutScenario implements AutoCloseable {
    private static final int SERVERS = 4;
    private static final long WITHIN_S = 60;
    private static final long LOOK_MS = 50;

    /** Reads a second at each server meanwhile. */
    private static final int READS = 40;

    /** Every so many is a keyed order. */
    private static final int ORDERS = 8;

    /** A run in the last moments of a process that was killed may not have come to its disk. */
    private static final int LOST = 12;

    private final ScenarioRunner stage;
    private final Consumer<String> progress;
    private final FakeWorker worker;
    private final List<String> broken = new ArrayList<>();
    private final Map<String, Integer> runs = new ConcurrentHashMap<>();
    private final AtomicInteger numbers = new AtomicInteger();
    private final AtomicLong reads = new AtomicLong();
    private final AtomicLong good = new AtomicLong();
    private volatile boolean over;

    RolloutScenario(Path folder, Consumer<String> progress) throws IOException {
        this.progress = progress;
        worker = new FakeWorker("127.0.0.1", 0, ran -> FakeWorker.Manner.ANSWERS);
        FleetScenario script =
                FleetScenarioReader.of(
                        "{ name: 'versions', seconds: 1000, members: "
                                + SERVERS
                                + ", zones: 2, seeds: "
                                + SERVERS
                                + ", copies: true, store: true }",
                        "versions");
        stage =
                new ScenarioRunner(script, 1, folder, true, true, progress)
                        .versions(pools(worker.port(), 50) + ",");
    }

    private static String pools(int port, int inFlight) {
        return "pools: { lookups: { workers: ['127.0.0.1:"
                + port
                + "'], most_in_flight: "
                + inFlight
                + ", runs: [ { operation: 'read', path: '/read' } ] } }";
    }

    /** Plays all of it; what was broken, a line each. */
    List<String> play() throws Exception {
        stage.raise((slot, body) -> runs.merge(body, 1, Integer::sum));
        for (int slot = 1; slot <= SERVERS; slot++) {
            callers(slot);
        }
        allComeToActOnIt();
        refusedOnTheSpot();
        pausedThroughOne();
        itsPublisherIsKilled();
        harmIsTakenBack();
        over = true;
        audits();
        return broken;
    }

    /** Reads at one server all the time; what is answered well is counted. */
    private void callers(int slot) {
        DaemonThreads.start(
                () -> {
                    while (!over) {
                        Thread.sleep(1000 / READS);
                        ServerProcess box = stage.box(slot);
                        if (!box.up || box.paused) {
                            continue;
                        }
                        try (FakeConnection wire =
                                new FakeConnection(
                                        new Socket(InetAddress.getLoopbackAddress(), box.serves))) {
                            while (!over && box.up && !box.paused) {
                                int number = numbers.incrementAndGet();
                                boolean order = number % ORDERS == 0;
                                String token =
                                        order
                                                ? String.format(
                                                        Locale.ROOT, "%032x", 5_000_000 + number)
                                                : null;
                                wire.send(
                                        GatewayMessages.message(
                                                number,
                                                order ? "order" : "read",
                                                GatewayMessages.params(
                                                        String.format("%016x", number),
                                                        token,
                                                        order ? token : "r" + number)));
                                String line = wire.line();
                                if (line == null) {
                                    break;
                                }
                                if (!order) {
                                    reads.incrementAndGet();
                                    if (line.contains("\"result\"")) {
                                        good.incrementAndGet();
                                    }
                                }
                                Thread.sleep(1000 / READS);
                            }
                        } catch (IOException e) {
                            // it was killed or paused: another connection once it is back
                        }
                    }
                });
    }

    // ---- the cases

    private void allComeToActOnIt() throws Exception {
        step("a version comes to all");
        long number = publish(1, pools(worker.port(), 60), "more in flight");
        need(
                until(
                        told ->
                                told.get("version").asLong() == number
                                        && told.get("state").asText().equals("DONE")),
                "it is not in force: " + status(1));
        need(all(Set.of(1, 2, 3, 4), number), "not all act on " + number);
    }

    private void refusedOnTheSpot() throws Exception {
        step("one that cannot be acted on is refused on the spot");
        JsonNode told =
                stage.door(
                        stage.box(1),
                        "version-publish",
                        "drill\n"
                            + "wrong\n\n"
                            + "{ pools: { others: { workers: ['127.0.0.1:1'], runs: [ { operation:"
                            + " 'read', path: '/' } ] } } }");
        need(told.path("refused").asText().contains("lookups"), "another pool: " + told);
        told = stage.door(stage.box(1), "version-publish", "drill\nwrong\n\nno version at all");
        need(!told.path("refused").asText().isEmpty(), "no JSON5: " + told);
        told =
                stage.door(
                        stage.box(4),
                        "version-publish",
                        "drill\nnot here\n\n{ " + pools(worker.port(), 61) + " }");
        need(
                told.path("refused").asText().contains("no voter"),
                "at a server that is no voter: " + told);
    }

    /** A straggler: paused through a version, let go with a keyed request already sent to it. */
    private void pausedThroughOne() throws Exception {
        step("paused through a version");
        stage.box(4).pause();
        long number = publish(2, pools(worker.port(), 70), "while one sleeps");
        need(
                until(
                        told ->
                                told.get("version").asLong() == number
                                        && told.get("state").asText().equals("DONE")),
                "it is not in force without the one that sleeps: " + status(1));
        String token = String.format(Locale.ROOT, "%032x", 77_000 + number);
        BlockingQueue<String> early = ask(4, token);
        stage.box(4).resume();
        String how = early.poll(WITHIN_S, TimeUnit.SECONDS);
        need(
                !"succeeded".equals(how) || acts(4) == number,
                "it ran keyed work on what it slept through: " + how);
        need(all(Set.of(4), number), "it is not brought up");
        need(untilKeyed(4), "it is not let in again");
        need(runs.getOrDefault(token, 0) <= 1, "runs: " + runs.get(token));
    }

    private void itsPublisherIsKilled() throws Exception {
        step("whoever published it is killed");
        long number = publish(1, pools(worker.port(), 80), "and then its publisher dies");
        until(2, told -> told.get("version").asLong() == number);
        stage.box(1).kill();
        need(
                until(
                        2,
                        told ->
                                told.get("version").asLong() == number
                                        && told.get("state").asText().equals("DONE")),
                "nobody carried it on: " + status(2));
        stage.again(1);
        need(
                stage.box(1).awaitPart() && all(Set.of(1), number),
                "its publisher does not act on it once it is back");
    }

    private void harmIsTakenBack() throws Exception {
        step("a version that does harm");
        long before = acts(1);
        String hash = status(1).get("hash").asText();
        int nobody = ServerProcess.freePort();
        long readBefore = reads.get();
        long goodBefore = good.get();
        long number = publish(1, pools(nobody, 80), "its workers do not exist");
        need(
                until(
                        told ->
                                told.get("version").asLong() == number + 1
                                        && told.get("state").asText().equals("DONE")),
                "it is not taken back: " + status(1));
        need(all(Set.of(1, 2, 3, 4), number + 1), "not all act on what was before");
        need(
                status(1).get("hash").asText().equals(hash) && before < number,
                "what came back is not what was before");
        long asked = reads.get() - readBefore;
        progress.accept(
                String.format(
                        Locale.ROOT,
                        "of %d reads meanwhile %d were answered well",
                        asked,
                        good.get() - goodBefore));
        need(good.get() - goodBefore > asked / 2, "most reads were lost meanwhile");
    }

    /** All audits together tell of each run that the stand-ins saw, and each of them is whole. */
    private void audits() throws Exception {
        step("audits held against what was run");
        for (int slot = 1; slot <= SERVERS; slot++) {
            stage.box(slot).leave();
        }
        Map<String, List<ChainHead>> known = new HashMap<>();
        Map<String, AuditLog> found = new TreeMap<>();
        for (int slot = 1; slot <= SERVERS; slot++) {
            stage.box(slot).awaitEnd();
            FleetTimeline.collectWitnessedHeads(
                    AuditLogReader.read(stage.box(slot).audit(), List.of()).decodedRecords(),
                    known);
        }
        FleetTimeline line = new FleetTimeline();
        for (int slot = 1; slot <= SERVERS; slot++) {
            String name = "m" + slot;
            AuditLog each =
                    AuditLogReader.read(
                            stage.box(slot).audit(), known.getOrDefault(name, List.of()));
            found.put(name, each);
            line.addServer(name, each.decodedRecords());
            need(each.faults().isEmpty(), "the audit of " + name + ": " + each.faults());
            need(
                    !known.getOrDefault(name, List.of()).isEmpty(),
                    "nobody knows where the audit of " + name + " ends");
        }
        int missing = 0;
        for (Map.Entry<String, Integer> each : runs.entrySet()) {
            int told = line.runsOfToken(each.getKey()).size();
            if (told > each.getValue()) {
                broken.add("the audits tell of more runs than there were of " + each.getKey());
            }
            if (told < each.getValue()) {
                missing++;
            }
        }
        need(missing <= LOST, missing + " of " + runs.size() + " runs are in no audit");
        need(runs.size() > 50, "too few runs to tell anything: " + runs.size());
        long from =
                found.values().stream()
                        .flatMap(each -> each.decodedRecords().stream())
                        .mapToLong(AuditRecord::startMillis)
                        .min()
                        .orElse(0);
        long until =
                found.values().stream()
                        .flatMap(each -> each.decodedRecords().stream())
                        .mapToLong(AuditRecord::endMillis)
                        .max()
                        .orElse(0);
        need(
                line.stragglerMillis(from, until).getOrDefault("m4", 0L) > 0,
                "it is not told that m4 was behind");
        need(
                line.intervals(from, until).stream()
                        .anyMatch(
                                each ->
                                        each.server().equals("m1")
                                                && each.status() == VersionStatus.UNKNOWN),
                "it is not told that m1 was away");
        progress.accept(
                runs.size()
                        + " runs, "
                        + missing
                        + " of them in no audit; "
                        + found.values().stream().mapToInt(each -> each.records().size()).sum()
                        + " records");
    }

    // ---- what they are made of

    private void step(String name) {
        progress.accept("step: " + name);
    }

    private void need(boolean as, String what) {
        if (!as) {
            broken.add(what);
        }
    }

    private long publish(int slot, String version, String why) throws Exception {
        JsonNode told = null;
        for (long until = System.nanoTime() + WITHIN_S * 1_000_000_000L;
                System.nanoTime() < until;
                Thread.sleep(LOOK_MS)) {
            told =
                    stage.door(
                            stage.box(slot),
                            "version-publish",
                            "drill\n" + why + "\n\n{ " + version + " }");
            if (told != null && told.has("published")) {
                return told.get("published").asLong();
            }
        }
        throw new IOException("it cannot be published: " + told);
    }

    private JsonNode status(int slot) {
        return stage.door(stage.box(slot), "version-status");
    }

    private long acts(int slot) {
        JsonNode told = status(slot);
        return told == null ? -1 : told.get("acts").asLong();
    }

    private boolean until(Predicate<JsonNode> enough) throws InterruptedException {
        return until(1, enough);
    }

    private boolean until(int slot, Predicate<JsonNode> enough) throws InterruptedException {
        for (long until = System.nanoTime() + WITHIN_S * 1_000_000_000L;
                System.nanoTime() < until;
                Thread.sleep(LOOK_MS)) {
            JsonNode told = status(slot);
            if (told != null && enough.test(told)) {
                return true;
            }
        }
        return false;
    }

    private boolean all(Set<Integer> slots, long number) throws InterruptedException {
        for (int slot : slots) {
            if (!until(slot, told -> told.get("acts").asLong() == number)) {
                return false;
            }
        }
        return true;
    }

    /** Whether a server comes to run keyed work. */
    private boolean untilKeyed(int slot) throws Exception {
        for (long until = System.nanoTime() + WITHIN_S * 1_000_000_000L;
                System.nanoTime() < until;
                Thread.sleep(LOOK_MS)) {
            String how =
                    ask(
                                    slot,
                                    String.format(
                                            Locale.ROOT,
                                            "%032x",
                                            1_000_000 + numbers.incrementAndGet()))
                            .poll(WITHIN_S, TimeUnit.SECONDS);
            if ("succeeded".equals(how)) {
                return true;
            }
        }
        return false;
    }

    private BlockingQueue<String> ask(int slot, String token) throws IOException {
        BlockingQueue<String> answer = new LinkedBlockingQueue<>();
        int number = numbers.incrementAndGet();
        FakeConnection wire =
                new FakeConnection(
                        new Socket(InetAddress.getLoopbackAddress(), stage.box(slot).serves));
        wire.send(
                GatewayMessages.message(
                        number,
                        "order",
                        GatewayMessages.params(String.format("%016x", number), token, token)));
        DaemonThreads.start(
                () -> {
                    try (wire) {
                        String line = wire.line();
                        answer.add(
                                line == null
                                        ? "broken"
                                        : line.contains("\"result\"")
                                                ? "succeeded"
                                                : line.contains("-32014")
                                                        ? "throttled"
                                                        : "errored");
                    }
                });
        return answer;
    }

    @Override
    public void close() throws IOException {
        over = true;
        stage.close();
        worker.close();
    }
}
