package ochretiller.commands;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.PrintWriter;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import ochretiller.fleet.consensus.RolloutPhase;
import ochretiller.fleet.membership.PeerAddress;
import ochretiller.fleet.service.FleetSettings;
import ochretiller.fleet.transport.AdminClient;
import ochretiller.fleet.transport.FleetKeys;
import ochretiller.operator.OperatorConfigReader;
import ochretiller.settings.MalformedException;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Asks a server of a fleet. Exit codes: 0 done, 1 it could not be asked, 2 wrong words or file. */
@Command(
        name = "fleet",
        mixinStandardHelpOptions = true,
        description = "Ask a server how it sees its fleet, or tell it to leave.")
public final class FleetCommand implements Runnable {
    private static final ObjectMapper JSON = new ObjectMapper();

    /** Between two looks at a server that leaves. */
    private static final int LOOK_MS = 250;

    private static final int FAILED = 1;
    private static final String DONE = RolloutPhase.DONE.externalName();
    private static final String HALTED = RolloutPhase.HALTED.externalName();

    @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

    /** Whom to ask. */
    static final class Whom {
        @Option(
                names = "--operator",
                paramLabel = "<operator>",
                required = true,
                description =
                        "An operators' file of this fleet: its name, its keys, and the server to"
                                + " ask.")
        Path operator;

        @Option(
                names = "--at",
                paramLabel = "ADDRESS",
                description = "Ask the server at this address of the fleet instead.")
        String at;

        @Option(names = "--json", description = "Say it as JSON.")
        boolean json;

        /** The same at another server of the fleet. */
        Whom at(String address) {
            Whom other = new Whom();
            other.operator = operator;
            other.json = json;
            other.at = address;
            return other;
        }

        AdminClient dial() throws IOException {
            FleetSettings settings =
                    OperatorConfigReader.read(operator)
                            .fleet()
                            .orElseThrow(() -> new MalformedException(operator + " has no fleet"));
            InetSocketAddress address = settings.listen();
            if (at != null) {
                try {
                    PeerAddress told = PeerAddress.parse(at);
                    address = new InetSocketAddress(told.host(), told.port());
                } catch (IllegalArgumentException e) {
                    throw new MalformedException("--at is no address: '" + at + "'");
                }
            }
            try {
                return new AdminClient(
                        address, settings.fleet(), FleetKeys.read(settings.keyFile()));
            } catch (IOException e) {
                throw new IOException(
                        "cannot ask the server at " + address + ": " + e.getMessage(), e);
            }
        }
    }

    @Override
    public void run() {
        throw new CommandLine.ParameterException(spec.commandLine(), "a sub-command is needed");
    }

    @Command(
            name = "view",
            mixinStandardHelpOptions = true,
            description = "How a server sees its fleet.")
    int view(
            @CommandLine.Mixin Whom whom,
            @Option(
                            names = "--watch",
                            paramLabel = "SECONDS",
                            description = "Go on, and tell what changes.")
                    Double watch,
            @Option(names = "--times", description = "With --watch: end behind so many looks.")
                    Integer times)
            throws IOException, InterruptedException {
        JsonNode view = ask(whom, "view");
        show(view, whom.json);
        if (watch == null) {
            return 0;
        }
        for (int i = 1; times == null || i < times; i++) {
            Thread.sleep((long) Math.max(LOOK_MS, watch * 1000));
            JsonNode next;
            try {
                next = ask(whom, "view");
            } catch (IOException e) {
                System.err.println(
                        e.getMessage()); // a watch outlives the restart of whom it watches
                continue;
            }
            if (whom.json) {
                show(next, true);
            } else {
                changes(view, next);
            }
            view = next;
        }
        return 0;
    }

    private static JsonNode ask(Whom whom, String word) throws IOException {
        try (AdminClient client = whom.dial()) {
            return JSON.readTree(client.ask(word));
        }
    }

    private void show(JsonNode view, boolean json) {
        PrintWriter out = spec.commandLine().getOut();
        if (json) {
            out.println(view);
            out.flush();
            return;
        }
        Map<String, Integer> states = new TreeMap<>();
        out.printf(
                "%-20s %-8s %-22s %-10s %-18s %9s %s%n",
                "member", "state", "address", "zone", "build", "for", "start");
        for (JsonNode each : view.get("members")) {
            states.merge(each.get("state").asText(), 1, Integer::sum);
            out.printf(
                    Locale.ROOT,
                    "%-20s %-8s %-22s %-10s %-18s %8.1fs %s%s%n",
                    each.get("name").asText(),
                    each.get("state").asText(),
                    each.get("address").asText(),
                    each.get("zone").asText(),
                    each.get("build").asText(),
                    each.get("for_ms").asLong() / 1e3,
                    each.get("start").asText(),
                    each.get("self").asBoolean() ? "  (asked)" : "");
        }
        out.printf(
                "fleet %s: %s; digest %s, doubt %d%n",
                view.get("fleet").asText(),
                states,
                view.get("digest").asText(),
                view.get("doubt").asInt());
        if (view.get("refused").size() > 0) {
            out.println("refused packets: " + view.get("refused"));
        }
        out.flush();
    }

    private static Map<String, String> states(JsonNode view) {
        Map<String, String> states = new TreeMap<>();
        view.get("members")
                .forEach(
                        each ->
                                states.put(
                                        each.get("name").asText()
                                                + '/'
                                                + each.get("start").asText(),
                                        each.get("state").asText()));
        return states;
    }

    private void changes(JsonNode before, JsonNode after) {
        PrintWriter out = spec.commandLine().getOut();
        Map<String, String> was = states(before);
        Map<String, String> is = states(after);
        is.forEach(
                (member, state) -> {
                    String old = was.remove(member);
                    if (!state.equals(old)) {
                        out.println(member + ": " + (old == null ? "new" : old) + " -> " + state);
                    }
                });
        was.forEach((member, state) -> out.println(member + ": " + state + " -> forgotten"));
        out.flush();
    }

    @Command(
            name = "ping",
            mixinStandardHelpOptions = true,
            description = "How fast a server answers at its fleet's door.")
    int ping(
            @CommandLine.Mixin Whom whom,
            @Option(
                            names = "--times",
                            defaultValue = "10",
                            description = "${DEFAULT-VALUE} by default.")
                    int times)
            throws IOException {
        PrintWriter out = spec.commandLine().getOut();
        try (AdminClient client = whom.dial()) {
            long[] micros = new long[Math.max(1, Math.min(99, times))];
            for (int i = 0; i < micros.length; i++) {
                long began = System.nanoTime();
                client.ask("ping");
                micros[i] = (System.nanoTime() - began) / 1000;
            }
            Arrays.sort(micros);
            long least = micros[0];
            long middle = micros[micros.length / 2];
            long most = micros[micros.length - 1];
            if (whom.json) {
                ObjectNode told =
                        JSON.createObjectNode()
                                .put("name", client.name())
                                .put("times", micros.length);
                out.println(told.put("least_us", least).put("p50_us", middle).put("most_us", most));
            } else {
                out.printf(
                        "%s: %d answers, least %d us, p50 %d us, most %d us%n",
                        client.name(), micros.length, least, middle, most);
            }
            out.flush();
        }
        return 0;
    }

    @Command(
            name = "publish",
            mixinStandardHelpOptions = true,
            description =
                    "Bring a version out to the fleet, by stages; one of its voters has to be"
                        + " asked. A version is an operators' file with pools and nothing else.")
    int publish(
            @CommandLine.Mixin Whom whom,
            @CommandLine.Parameters(description = "The version.") Path file,
            @Option(names = "--why", required = true, description = "Why, in a line.") String why,
            @Option(names = "--by", description = "Who; the user's name by default.") String by,
            @Option(
                            names = "--build",
                            defaultValue = "",
                            description = "The least build that can act on it.")
                    String least,
            @Option(
                            names = "--wait",
                            description = "Wait until it is in force, halted or taken back.")
                    boolean wait)
            throws IOException, InterruptedException {
        String text = Files.readString(file);
        String who = by == null ? System.getProperty("user.name") : by;
        for (String each : new String[] {who, why, least}) {
            if (each.contains("\n")) {
                throw new MalformedException("a line has no end of a line in it");
            }
        }
        JsonNode told;
        try (AdminClient client = whom.dial()) {
            told =
                    JSON.readTree(
                            client.ask(
                                    "version-publish",
                                    who + '\n' + why + '\n' + least + '\n' + text));
        }
        if (refused(whom, told)) {
            return FAILED;
        }
        long number = told.get("published").asLong();
        PrintWriter out = spec.commandLine().getOut();
        if (!whom.json) {
            out.println("version " + number + " is brought out");
        }
        out.flush();
        return wait ? follow(whom, number) : 0;
    }

    /** Tells each step of a rollout until it is over. */
    private int follow(Whom whom, long number) throws InterruptedException {
        String last = "";
        while (true) {
            Thread.sleep(LOOK_MS);
            JsonNode told;
            try {
                told = ask(whom, "version-status");
            } catch (IOException e) {
                continue; // any voter carries it on; this one may be back
            }
            long version = told.get("version").asLong();
            String state = told.get("state").asText();
            boolean over =
                    version > number
                            || version == number && (state.equals(DONE) || state.equals(HALTED));
            String line =
                    version < number
                            ? "not agreed on yet"
                            : "version "
                                    + version
                                    + ", "
                                    + (over
                                            ? state
                                            : "stage " + told.get("stage").asInt() + ", " + state);
            if (!line.equals(last)) {
                System.err.println(line);
            }
            last = line;
            if (!over) {
                continue;
            }
            boolean good = version == number && state.equals(DONE);
            show(
                    whom,
                    told,
                    good
                            ? "version " + number + " is in force"
                            : "version "
                                    + number
                                    + " is not: "
                                    + told.get("halted").asText()
                                    + told.get("why").asText());
            return good ? 0 : FAILED;
        }
    }

    private void show(Whom whom, JsonNode told, String text) {
        PrintWriter out = spec.commandLine().getOut();
        out.println(whom.json ? told.toString() : text);
        out.flush();
    }

    private boolean refused(Whom whom, JsonNode told) {
        String why = told.path("refused").asText();
        if (why.isEmpty() || told.has("servers")) {
            return false;
        }
        if (whom.json) {
            show(whom, told, "");
        } else {
            System.err.println("refused: " + why);
        }
        return true;
    }

    @Command(
            name = "versions",
            mixinStandardHelpOptions = true,
            description =
                    "Which version is in force, how far the next has come, and who acts on which.")
    int versions(@CommandLine.Mixin Whom whom) throws IOException {
        JsonNode told = ask(whom, "version-status");
        if (refused(whom, told)) {
            return FAILED;
        }
        PrintWriter out = spec.commandLine().getOut();
        if (whom.json) {
            out.println(told);
        } else {
            out.printf(
                    Locale.ROOT,
                    "version %d, %s at stage %d, before it %d; by %s: %s%n",
                    told.get("version").asLong(),
                    told.get("state").asText(),
                    told.get("stage").asInt(),
                    told.get("before").asLong(),
                    told.get("by").asText(),
                    told.get("why").asText());
            if (!told.get("halted").asText().isEmpty()) {
                out.println("the last one that was stopped: " + told.get("halted").asText());
            }
            out.printf(
                    Locale.ROOT,
                    "%s acts on %d; its lease %s%n",
                    told.get("name").asText(),
                    told.get("acts").asLong(),
                    told.get("may").asBoolean()
                            ? "holds for " + told.get("lease_left_ms").asLong() + " ms"
                            : "has ended: keyed work is throttled");
            for (Map.Entry<String, JsonNode> each : told.get("servers").properties()) {
                out.printf(
                        Locale.ROOT,
                        "%-20s acts on %d%s%s%n",
                        each.getKey(),
                        each.getValue().get("acts").asLong(),
                        each.getValue().get("refused").asLong() == 0
                                ? ""
                                : ", refuses " + each.getValue().get("refused").asLong(),
                        each.getValue().get("out").asBoolean() ? ", shut out" : "");
            }
        }
        out.flush();
        return 0;
    }

    @Command(
            name = "pause",
            mixinStandardHelpOptions = true,
            description = "Stop a rollout where it is.")
    int pause(@CommandLine.Mixin Whom whom) throws IOException {
        return steer(whom, "pause");
    }

    @Command(
            name = "go-on",
            mixinStandardHelpOptions = true,
            description = "Let a rollout go on that was paused or halted.")
    int goOn(@CommandLine.Mixin Whom whom) throws IOException {
        return steer(whom, "go-on");
    }

    @Command(
            name = "take-back",
            mixinStandardHelpOptions = true,
            description = "Bring back what was before, for all at once, as a version of its own.")
    int takeBack(@CommandLine.Mixin Whom whom) throws IOException {
        return steer(whom, "take-back");
    }

    private int steer(Whom whom, String word) throws IOException {
        JsonNode told;
        try (AdminClient client = whom.dial()) {
            told = JSON.readTree(client.ask("version-" + word, System.getProperty("user.name")));
        }
        if (refused(whom, told)) {
            return FAILED;
        }
        show(whom, told, word + " is asked for; see `fleet versions`");
        return 0;
    }

    @Command(
            name = "leave",
            mixinStandardHelpOptions = true,
            description =
                    "Tell a server to drain and end, as SIGTERM does; waits until it is gone.")
    int leave(
            @CommandLine.Mixin Whom whom,
            @Option(names = "--within", defaultValue = "60", description = "Seconds to wait.")
                    int within)
            throws IOException, InterruptedException {
        PrintWriter out = spec.commandLine().getOut();
        String name;
        try (AdminClient client = whom.dial()) {
            name = client.name();
            client.ask("leave");
        }
        long until = System.nanoTime() + within * 1_000_000_000L;
        while (System.nanoTime() < until) {
            Thread.sleep(LOOK_MS);
            try {
                ask(whom, "ping");
                if (!whom.json) {
                    System.err.println(name + " drains");
                }
            } catch (IOException e) {
                boolean gone = e.getCause() instanceof ConnectException;
                if (!gone) {
                    continue; // it was cut off in the midst of an answer: not gone yet, or just now
                }
                out.println(
                        whom.json
                                ? JSON.createObjectNode()
                                        .put("name", name)
                                        .put("gone", true)
                                        .toString()
                                : name + " is gone");
                out.flush();
                return 0;
            }
        }
        System.err.println(name + " still answers after " + within + " s");
        return FAILED;
    }
}
