package ochretiller.drill;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.regex.Pattern;
import ochretiller.emulator.core.RandomStreams;
import ochretiller.emulator.fleet.FaultSchedule;
import ochretiller.emulator.fleet.FleetScenario;
import ochretiller.emulator.fleet.LinkFaults;
import ochretiller.fakes.DaemonThreads;
import ochretiller.fleet.transport.AdminClient;

/**
 * Plays a script on processes: starts them, puts the faults on, watches, and ends with all faults
 * healed.
 */
final class ScenarioRunner implements AutoCloseable {
    /** A fault that comes later than this behind its time makes the run void. */
    private static final double LATE_S = 1.5;

    /** Views that stay equal and right for so long have settled. */
    private static final double STAYS_S = 2.5;

    /** Burners for each step of a crowd's strength, and that step in milliseconds of lateness. */
    private static final double CROWD_STEP = 50;

    private static final int WATCH_MS = 100;

    /** They come in one by one, each within this. */
    private static final int KEEPERS_S = 10;

    /** Ranges are whole so soon behind an epoch. */
    private static final double SETTLED_S = 1.5;

    /**
     * Copies are the same so soon behind a comparison of all of them; and how often that is looked
     * at.
     */
    private static final double COPIES_S = 25;

    private static final int COMPARE_MS = 250;
    private static final ObjectMapper JSON = new ObjectMapper();

    private final FleetScenario script;
    private final FaultSchedule plan;
    private final Path folder;
    private final boolean viewOn;
    private final boolean copiesOn;
    private final boolean stores;
    private final Consumer<String> progress;
    private final Map<Integer, ServerProcess> boxes = new TreeMap<>();
    private final Map<Integer, Integer> real = new HashMap<>();
    private final Map<Integer, Integer> relayed = new HashMap<>();
    private final List<MembershipPoller> watches = new ArrayList<>();
    private final List<Process> burners = new ArrayList<>();
    private final FaultProxy links;
    private final SplittableRandom chance;
    private final long seed;
    private History history;
    private volatile boolean over;

    /** Whether servers are told one another's own addresses, and nothing lies between them. */
    private boolean direct;

    private boolean forLoad;
    private String more;

    /**
     * A stage with nobody on it yet.
     *
     * @param viewOn whether the servers take part in a fleet; without it the same is played for
     *     what callers get
     * @param copiesOn whether they keep copies, where the script has them
     */
    ScenarioRunner(
            FleetScenario script,
            long seed,
            Path folder,
            boolean viewOn,
            boolean copiesOn,
            Consumer<String> progress)
            throws IOException {
        this.script = script;
        this.seed = seed;
        this.plan = FaultSchedule.of(script);
        this.folder = folder;
        this.viewOn = viewOn;
        this.copiesOn = copiesOn && viewOn && script.copies();
        this.stores = this.copiesOn && script.store();
        this.progress = progress;
        RandomStreams seeds = new RandomStreams(seed);
        this.chance = seeds.of("floods");
        this.history = new History(System.nanoTime());
        this.links = new FaultProxy(new LinkFaults(plan, seeds.of("faults")), () -> history.now());
    }

    /** Plays it; the history of all that happened. */
    History play() throws IOException, InterruptedException {
        // Script time begins when the members of the script are there; before it they start as they
        // can.
        history = new History(System.nanoTime() + 3_600_000_000_000L);
        for (FaultSchedule.Slot slot : plan.slots()) {
            box(slot, this::ran);
        }
        links.start();
        for (FaultSchedule.Action action : plan.actions()) {
            if (first(action)) {
                start(action);
            }
        }
        for (FaultSchedule.Action action : plan.actions()) {
            if (first(action) && !boxes.get(action.slot()).awaitPart()) {
                throw new IOException("server " + action.slot() + " did not start");
            }
        }
        History begun = new History(System.nanoTime() - (long) (script.startS() * 1e9));
        for (History.Event event : history.all()) {
            begun.put(
                    new History.Event(
                            script.startS(),
                            event.what(),
                            event.slot(),
                            event.id(),
                            event.text(),
                            null));
        }
        become(begun);
        progress.accept(script.members() + " servers are there");
        if (copiesOn) {
            awaitKeepers();
        }
        LoadGenerator load =
                new LoadGenerator(
                        history,
                        List.copyOf(boxes.values()),
                        script.load().perSecond(),
                        seed,
                        script.copies());
        load.start();
        for (FaultSchedule.Fault fault : plan.faults()) {
            put(fault);
        }
        for (FaultSchedule.Action action : plan.actions()) {
            if (first(action)) {
                continue;
            }
            until(action.atS());
            double late = history.now() - action.atS();
            if (late > LATE_S) {
                history.add(
                        History.What.VOID,
                        action.slot(),
                        "",
                        String.format(Locale.ROOT, "%s came %.1f s late", action.act(), late));
            }
            progress.accept(
                    String.format(
                            Locale.ROOT,
                            "%.1f s: %s %d",
                            history.now(),
                            action.act(),
                            action.slot()));
            act(action);
        }
        until(plan.lastS());
        for (FaultSchedule.Action action : plan.actions()) {
            ServerProcess box = boxes.get(action.slot());
            if (action.act() == FaultSchedule.Act.START && !first(action) && !box.awaitPart()) {
                history.add(History.What.VOID, action.slot(), "", "it did not start");
            }
        }
        double last = history.now();
        progress.accept(String.format(Locale.ROOT, "%.1f s: all faults are over", last));
        double bound =
                Math.max(
                        script.seconds(), last + Math.max(script.expect().settledS(), 5) + STAYS_S);
        settle(bound, last);
        load.end();
        if (copiesOn) {
            compare();
        }
        history.add(History.What.OVER, 0, "", "");
        return history;
    }

    /**
     * Servers speak to one another without links between: for measurements of what they do
     * themselves.
     */
    ScenarioRunner direct() {
        direct = true;
        return this;
    }

    /** Versions are brought out to the servers, which have this in their operators' files, too. */
    ScenarioRunner versions(String members) {
        more = members;
        return this;
    }

    /**
     * Servers have room for what they are measured with: else it would be the bounds on what is
     * kept that are measured.
     */
    ScenarioRunner forLoad() {
        forLoad = true;
        return this;
    }

    /**
     * Starts all servers of the script, and tells of each run that is begun; nothing else is
     * played.
     */
    void raise(BiConsumer<Integer, String> ran) throws IOException, InterruptedException {
        for (FaultSchedule.Slot slot : plan.slots()) {
            box(slot, ran);
        }
        links.start();
        for (FaultSchedule.Action action : plan.actions()) {
            start(action);
        }
        for (ServerProcess box : boxes.values()) {
            if (!box.awaitPart()) {
                throw new IOException("server " + box.slot.number() + " did not start");
            }
        }
        if (copiesOn) {
            awaitKeepers();
        }
    }

    /** From now on these are cut off from all others. */
    void cut(Set<Integer> these) {
        links.cut(these);
    }

    ServerProcess box(int number) {
        return boxes.get(number);
    }

    /** Starts a server again, with the disk that it has. */
    void again(int number) throws IOException, InterruptedException {
        for (FaultSchedule.Action action : plan.actions()) {
            if (action.slot() == number && action.act() == FaultSchedule.Act.START) {
                start(action);
            }
        }
    }

    /** From here on all that is noted has its time from the script's beginning. */
    private void become(History begun) {
        history = begun;
        Map<Integer, ServerProcess> there = new TreeMap<>(boxes);
        there.forEach((number, box) -> box.become(begun));
        for (ServerProcess box : boxes.values()) {
            if (viewOn) {
                watch(box);
            }
        }
    }

    /**
     * Keyed work is throttled until the fleet has agreed on who keeps it: the script begins once
     * all its members do.
     */
    private void awaitKeepers() throws InterruptedException, IOException {
        // All of them, in whatever epoch that comes to be.
        String wanted = "of \\[" + "[^, ]+, ".repeat(script.members() - 1) + "[^, ]+\\]";
        for (ServerProcess box : boxes.values()) {
            if (box.slot.number() <= script.members()
                    && !box.awaitLine(Pattern.compile(wanted), KEEPERS_S * script.members())) {
                throw new IOException("no keepers were agreed on at server " + box.slot.number());
            }
        }
        Thread.sleep((long) (SETTLED_S * 1000));
        History begun = new History(System.nanoTime() - (long) (script.startS() * 1e9));
        for (History.Event event : history.all()) {
            if (event.what() == History.What.STARTED) {
                begun.put(
                        new History.Event(
                                script.startS(),
                                event.what(),
                                event.slot(),
                                event.id(),
                                event.text(),
                                null));
            }
        }
        for (MembershipPoller watch : watches) {
            watch.become(begun);
        }
        history = begun;
        boxes.forEach((number, box) -> box.become(begun));
    }

    private boolean first(FaultSchedule.Action action) {
        return action.act() == FaultSchedule.Act.START
                && action.slot() <= script.members()
                && action.atS() <= script.startS()
                && !repeated(action);
    }

    private boolean repeated(FaultSchedule.Action action) {
        for (FaultSchedule.Action each : plan.actions()) {
            if (each == action) {
                return false;
            }
            if (each.slot() == action.slot() && each.act() == FaultSchedule.Act.START) {
                return true;
            }
        }
        return false;
    }

    private void box(FaultSchedule.Slot slot, BiConsumer<Integer, String> ran) throws IOException {
        ServerProcess box =
                new ServerProcess(
                        slot,
                        folder,
                        history,
                        (rid, operation, body) -> ran.accept(slot.number(), body));
        box.forLoad = forLoad;
        box.versions = more != null;
        box.more = more == null ? "" : more;
        boxes.put(slot.number(), box);
    }

    private void ran(int slot, String body) {
        history.add(History.What.RAN, slot, body, "");
    }

    private int real(int address) throws IOException {
        Integer port = real.get(address);
        if (port != null) {
            return port;
        }
        int fresh = ServerProcess.freePort();
        real.put(address, fresh);
        relayed.put(address, links.open(address, fresh));
        return fresh;
    }

    /** Where others are told that an address is. */
    private int told(int address) {
        return direct ? real.get(address) : relayed.get(address);
    }

    private final Map<Integer, Integer> addressOf = new HashMap<>();

    private void start(FaultSchedule.Action action) throws IOException, InterruptedException {
        ServerProcess box = boxes.get(action.slot());
        box.awaitEnd();
        int listen = real(action.address());
        links.at(action.address(), action.slot());
        addressOf.put(action.slot(), action.address());
        List<Integer> seeds = new ArrayList<>();
        for (int i = 1; i <= script.seeds(); i++) {
            real(i);
            seeds.add(told(i));
        }
        box.start(
                listen,
                told(action.address()),
                seeds,
                script.probeMs(),
                viewOn,
                clock(action),
                copiesOn ? Math.min(3, script.members()) : 0,
                stores);
    }

    private double clock(FaultSchedule.Action action) {
        double back = 0;
        for (FaultSchedule.Fault fault : plan.faults()) {
            boolean on = action.atS() >= fault.atS() && action.atS() <= fault.untilS();
            if (fault.what() == FaultSchedule.Link.CLOCK
                    && on
                    && fault.to().contains(action.slot())) {
                back += fault.strength();
            }
        }
        return back;
    }

    private void watch(ServerProcess box) {
        Integer address = addressOf.get(box.slot.number());
        if (address == null) {
            return;
        }
        watches.add(new MembershipPoller(box, real.get(address), history, WATCH_MS));
    }

    private void act(FaultSchedule.Action action) throws IOException, InterruptedException {
        ServerProcess box = boxes.get(action.slot());
        switch (action.act()) {
            case START -> {
                Integer before = addressOf.get(action.slot());
                box.awaitEnd();
                if (stores) {
                    box.disk(action.disk());
                }
                start(action);
                if (viewOn && (before == null || before != action.address())) {
                    watch(box);
                }
            }
            case IMAGE -> {
                if (stores) {
                    box.takeImage();
                }
            }
            case KILL -> box.kill();
            case PAUSE -> box.pause();
            case RESUME -> box.resume();
            case LEAVE -> box.leave();
            default -> throw new IllegalStateException();
        }
    }

    /**
     * All copies are compared at all servers' doors, until they are the same or the bound has come;
     * how they are is noted.
     */
    private void compare() throws InterruptedException {
        compared()
                .forEach(
                        (slot, digests) ->
                                history.add(
                                        History.What.COPIES,
                                        slot,
                                        boxes.get(slot).start,
                                        digests == null
                                                ? "none"
                                                : digests.get("ranges").toString()));
    }

    /**
     * What each server keeps, by range, once all have compared all of it; whether or not it has
     * become the same.
     */
    Map<Integer, JsonNode> compared() throws InterruptedException {
        double bound = history.now() + COPIES_S;
        Map<Integer, JsonNode> told = new TreeMap<>();
        for (ServerProcess box : boxes.values()) {
            if (box.up) {
                door(box, "copies-repair");
            }
        }
        while (history.now() < bound) {
            told.clear();
            for (ServerProcess box : boxes.values()) {
                if (box.up) {
                    told.put(box.slot.number(), door(box, "copies-digests"));
                }
            }
            if (!told.containsValue(null) && same(told.values())) {
                break;
            }
            Thread.sleep(COMPARE_MS);
        }
        return told;
    }

    /** What a server tells operators; null where it does not. */
    JsonNode door(ServerProcess box, String word) {
        return door(box, word, "");
    }

    JsonNode door(ServerProcess box, String word, String with) {
        Integer address = addressOf.get(box.slot.number());
        try (AdminClient client =
                new AdminClient(
                        new InetSocketAddress(InetAddress.getLoopbackAddress(), real.get(address)),
                        "drill",
                        MembershipPoller.KEYS)) {
            return JSON.readTree(client.request(word, with));
        } catch (IOException e) {
            progress.accept("server " + box.slot.number() + " cannot be asked: " + e.getMessage());
            return null;
        }
    }

    private static boolean same(Collection<JsonNode> told) {
        Map<String, JsonNode> first = new HashMap<>();
        for (JsonNode each : told) {
            for (Map.Entry<String, JsonNode> range : each.get("ranges").properties()) {
                JsonNode before = first.putIfAbsent(range.getKey(), range.getValue());
                if (before != null && !before.equals(range.getValue())
                        || !range.getValue().get(2).asBoolean()) {
                    return false;
                }
            }
        }
        return true;
    }

    /** Faults that are not the links' own: crowds on the cores, floods at a port. */
    private void put(FaultSchedule.Fault fault) {
        if (fault.what() == FaultSchedule.Link.CROWD) {
            DaemonThreads.start(
                    () -> {
                        until(fault.atS());
                        int count =
                                (int) Math.ceil(fault.strength() / CROWD_STEP)
                                        * Runtime.getRuntime().availableProcessors();
                        List<Process> mine = new ArrayList<>();
                        for (int i = 0; i < count; i++) {
                            mine.add(new ProcessBuilder("sh", "-c", "while :; do :; done").start());
                        }
                        synchronized (burners) {
                            burners.addAll(mine);
                        }
                        until(fault.untilS());
                        mine.forEach(Process::destroyForcibly);
                    });
        } else if (fault.what() == FaultSchedule.Link.FULL
                || fault.what() == FaultSchedule.Link.STALL) {
            DaemonThreads.start(
                    () -> {
                        until(fault.atS());
                        for (int slot : fault.to()) {
                            boxes.get(slot).diskIs(fault.what().name().toLowerCase(Locale.ROOT));
                        }
                        until(fault.untilS());
                        for (int slot : fault.to()) {
                            boxes.get(slot).diskIs(null);
                        }
                    });
        } else if (fault.what() == FaultSchedule.Link.FLOOD) {
            for (int slot : fault.to()) {
                DaemonThreads.start(() -> flood(fault, slot));
            }
        }
    }

    /** Garbage, packets with a byte spoilt, and packets that went by before, as fast as told. */
    private void flood(FaultSchedule.Fault fault, int slot)
            throws IOException, InterruptedException {
        until(fault.atS());
        SplittableRandom mine;
        synchronized (chance) {
            mine = chance.split();
        }
        try (DatagramSocket socket = new DatagramSocket()) {
            int port = real.get(addressOf.get(slot));
            long sent = 0;
            long began = System.nanoTime();
            while (!over && history.now() < fault.untilS()) {
                List<byte[]> heard = links.heard();
                for (int i = 0; i < 20; i++) {
                    byte[] bytes = new byte[1 + mine.nextInt(1400)];
                    mine.nextBytes(bytes);
                    if (!heard.isEmpty() && i % 3 != 0) {
                        bytes = heard.get(mine.nextInt(heard.size())).clone();
                        if (i % 3 == 1) {
                            bytes[mine.nextInt(bytes.length)] ^= 0x11;
                        }
                    }
                    socket.send(
                            new DatagramPacket(
                                    bytes, bytes.length, InetAddress.getLoopbackAddress(), port));
                    sent++;
                }
                long ahead =
                        (long) (sent / Math.max(1, fault.strength()) * 1e9)
                                - (System.nanoTime() - began);
                if (ahead > 0) {
                    Thread.sleep(ahead / 1_000_000, (int) (ahead % 1_000_000));
                }
            }
        }
    }

    private void until(double at) throws InterruptedException {
        for (double left = at - history.now(); left > 0; left = at - history.now()) {
            Thread.sleep((long) Math.ceil(Math.min(left, 1) * 1000));
        }
    }

    /** Until all views have been equal and right for some time, or the bound has come. */
    private void settle(double bound, double last) throws InterruptedException {
        double since = Double.NaN;
        while (history.now() < bound) {
            boolean right = !viewOn || right();
            if (!right) {
                since = Double.NaN;
            } else if (Double.isNaN(since)) {
                since = history.now();
            }
            if (right && history.now() - since > STAYS_S && history.now() >= script.seconds()) {
                return;
            }
            if (right
                    && history.now() - since > STAYS_S
                    && script.expect().settledS() > 0
                    && history.now() > last + STAYS_S) {
                return;
            }
            Thread.sleep(WATCH_MS);
        }
    }

    private boolean right() {
        Set<String> there = new TreeSet<>();
        for (ServerProcess box : boxes.values()) {
            if (box.up && !box.leaves) {
                there.add(box.start);
            }
        }
        String digest = null;
        Set<String> looked = new TreeSet<>();
        for (MembershipPoller watch : watches) {
            if (watch.start == null || !there.contains(watch.start)) {
                continue;
            }
            looked.add(watch.start);
            Set<String> live = new TreeSet<>();
            watch.states.forEach(
                    (start, state) -> {
                        if (state.equals("HERE")) {
                            live.add(start);
                        }
                    });
            if (!live.equals(there) || digest != null && !digest.equals(watch.digest)) {
                return false;
            }
            digest = watch.digest;
        }
        return looked.equals(there);
    }

    long passed() {
        return links.passed.get();
    }

    @Override
    public void close() throws IOException {
        over = true;
        for (MembershipPoller watch : watches) {
            watch.end();
        }
        synchronized (burners) {
            burners.forEach(Process::destroyForcibly);
        }
        for (ServerProcess box : boxes.values()) {
            box.close();
        }
        links.close();
    }
}
