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

/**
 * Sends operators' commands to one server of a fleet. Exit codes: 0 success, 1 the server could not
 * be reached or refused the command, 2 bad arguments or file.
 */
@Command(
        name = "fleet",
        mixinStandardHelpOptions = true,
        description = "Ask a server how it sees its fleet, or tell it to leave.")
public final class FleetCommand implements Runnable {
    private static final ObjectMapper JSON = new ObjectMapper();

    /** Shortest time between two requests to a polled server. */
    private static final int POLL_INTERVAL_MS = 250;

    private static final int EXIT_FAILED = 1;
    private static final String DONE = RolloutPhase.DONE.externalName();
    private static final String HALTED = RolloutPhase.HALTED.externalName();

    @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

    /** Options that select the server to send requests to. */
    static final class TargetServer {
        @Option(
                names = "--operator",
                paramLabel = "<operator>",
                required = true,
                description =
                        "An operators' file of this fleet: its name, its keys, and the server to"
                                + " ask.")
        Path operatorFile;

        @Option(
                names = "--at",
                paramLabel = "ADDRESS",
                description = "Ask the server at this address of the fleet instead.")
        String atAddress;

        @Option(names = "--json", description = "Say it as JSON.")
        boolean json;

        /** Returns these options for the server at another address of the fleet. */
        TargetServer atAddress(String address) {
            TargetServer other = new TargetServer();
            other.operatorFile = operatorFile;
            other.json = json;
            other.atAddress = address;
            return other;
        }

        AdminClient connect() throws IOException {
            FleetSettings settings =
                    OperatorConfigReader.read(operatorFile)
                            .fleet()
                            .orElseThrow(
                                    () -> new MalformedException(operatorFile + " has no 'fleet'"));
            InetSocketAddress address = settings.listenAddress();
            if (atAddress != null) {
                try {
                    PeerAddress peer = PeerAddress.parse(atAddress);
                    address = new InetSocketAddress(peer.host(), peer.port());
                } catch (IllegalArgumentException e) {
                    throw new MalformedException(
                            "--at must be an IP address and a port, not '" + atAddress + "'");
                }
            }
            try {
                return new AdminClient(
                        address, settings.fleetName(), FleetKeys.read(settings.keyFile()));
            } catch (IOException e) {
                throw new IOException(
                        "cannot connect to the server at " + address + ": " + e.getMessage(), e);
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
            @CommandLine.Mixin TargetServer target,
            @Option(
                            names = "--watch",
                            paramLabel = "SECONDS",
                            description = "Go on, and tell what changes.")
                    Double watch,
            @Option(names = "--times", description = "With --watch: end behind so many looks.")
                    Integer times)
            throws IOException, InterruptedException {
        JsonNode view = request(target, "view");
        printView(view, target.json);
        if (watch == null) {
            return 0;
        }
        for (int i = 1; times == null || i < times; i++) {
            Thread.sleep((long) Math.max(POLL_INTERVAL_MS, watch * 1000));
            JsonNode next;
            try {
                next = request(target, "view");
            } catch (IOException e) {
                System.err.println(e.getMessage()); // keep watching while the server restarts
                continue;
            }
            if (target.json) {
                printView(next, true);
            } else {
                printChanges(view, next);
            }
            view = next;
        }
        return 0;
    }

    private static JsonNode request(TargetServer target, String command) throws IOException {
        try (AdminClient client = target.connect()) {
            return JSON.readTree(client.request(command));
        }
    }

    private void printView(JsonNode view, boolean json) {
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
        for (JsonNode member : view.get("members")) {
            states.merge(member.get("state").asText(), 1, Integer::sum);
            out.printf(
                    Locale.ROOT,
                    "%-20s %-8s %-22s %-10s %-18s %8.1fs %s%s%n",
                    member.get("name").asText(),
                    member.get("state").asText(),
                    member.get("address").asText(),
                    member.get("zone").asText(),
                    member.get("build").asText(),
                    member.get("for_ms").asLong() / 1e3,
                    member.get("start").asText(),
                    member.get("self").asBoolean() ? "  (asked)" : "");
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
                        member ->
                                states.put(
                                        member.get("name").asText()
                                                + '/'
                                                + member.get("start").asText(),
                                        member.get("state").asText()));
        return states;
    }

    private void printChanges(JsonNode earlier, JsonNode later) {
        PrintWriter out = spec.commandLine().getOut();
        Map<String, String> earlierStates = states(earlier);
        Map<String, String> laterStates = states(later);
        laterStates.forEach(
                (member, state) -> {
                    String earlierState = earlierStates.remove(member);
                    if (!state.equals(earlierState)) {
                        out.println(
                                member
                                        + ": "
                                        + (earlierState == null ? "new" : earlierState)
                                        + " -> "
                                        + state);
                    }
                });
        earlierStates.forEach(
                (member, state) -> out.println(member + ": " + state + " -> forgotten"));
        out.flush();
    }

    @Command(
            name = "ping",
            mixinStandardHelpOptions = true,
            description = "How fast a server answers at its fleet's door.")
    int ping(
            @CommandLine.Mixin TargetServer target,
            @Option(
                            names = "--times",
                            defaultValue = "10",
                            description = "${DEFAULT-VALUE} by default.")
                    int times)
            throws IOException {
        PrintWriter out = spec.commandLine().getOut();
        try (AdminClient client = target.connect()) {
            long[] micros = new long[Math.max(1, Math.min(99, times))];
            for (int i = 0; i < micros.length; i++) {
                long startNanos = System.nanoTime();
                client.request("ping");
                micros[i] = (System.nanoTime() - startNanos) / 1000;
            }
            Arrays.sort(micros);
            long minMicros = micros[0];
            long medianMicros = micros[micros.length / 2];
            long maxMicros = micros[micros.length - 1];
            if (target.json) {
                ObjectNode summary =
                        JSON.createObjectNode()
                                .put("name", client.serverName())
                                .put("times", micros.length);
                out.println(
                        summary.put("least_us", minMicros)
                                .put("p50_us", medianMicros)
                                .put("most_us", maxMicros));
            } else {
                out.printf(
                        "%s: %d answers, least %d us, p50 %d us, most %d us%n",
                        client.serverName(), micros.length, minMicros, medianMicros, maxMicros);
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
            @CommandLine.Mixin TargetServer target,
            @CommandLine.Parameters(description = "The version.") Path file,
            @Option(names = "--why", required = true, description = "Why, in a line.")
                    String reason,
            @Option(names = "--by", description = "Who; the user's name by default.")
                    String authorOption,
            @Option(
                            names = "--build",
                            defaultValue = "",
                            description = "The least build that can act on it.")
                    String minBuild,
            @Option(
                            names = "--wait",
                            description = "Wait until it is in force, halted or taken back.")
                    boolean waitForEnd)
            throws IOException, InterruptedException {
        String version = Files.readString(file);
        String author = authorOption == null ? System.getProperty("user.name") : authorOption;
        for (String line : new String[] {author, reason, minBuild}) {
            if (line.contains("\n")) {
                throw new MalformedException("--by, --why and --build must not have a line break");
            }
        }
        JsonNode response;
        try (AdminClient client = target.connect()) {
            response =
                    JSON.readTree(
                            client.request(
                                    "version-publish",
                                    author + '\n' + reason + '\n' + minBuild + '\n' + version));
        }
        if (reportRefusal(target, response)) {
            return EXIT_FAILED;
        }
        long number = response.get("published").asLong();
        PrintWriter out = spec.commandLine().getOut();
        if (!target.json) {
            out.println("version " + number + " is brought out");
        }
        out.flush();
        return waitForEnd ? follow(target, number) : 0;
    }

    /** Prints each state of a rollout until it has ended, and returns the exit code. */
    private int follow(TargetServer target, long number) throws InterruptedException {
        String lastLine = "";
        while (true) {
            Thread.sleep(POLL_INTERVAL_MS);
            JsonNode status;
            try {
                status = request(target, "version-status");
            } catch (IOException e) {
                continue; // any voter may drive the rollout; this one may come back
            }
            long version = status.get("version").asLong();
            String state = status.get("state").asText();
            boolean hasEnded =
                    version > number
                            || version == number && (state.equals(DONE) || state.equals(HALTED));
            String line =
                    version < number
                            ? "not agreed on yet"
                            : "version "
                                    + version
                                    + ", "
                                    + (hasEnded
                                            ? state
                                            : "stage "
                                                    + status.get("stage").asInt()
                                                    + ", "
                                                    + state);
            if (!line.equals(lastLine)) {
                System.err.println(line);
            }
            lastLine = line;
            if (!hasEnded) {
                continue;
            }
            boolean isInForce = version == number && state.equals(DONE);
            printResult(
                    target,
                    status,
                    isInForce
                            ? "version " + number + " is in force"
                            : "version "
                                    + number
                                    + " is not: "
                                    + status.get("halted").asText()
                                    + status.get("why").asText());
            return isInForce ? 0 : EXIT_FAILED;
        }
    }

    private void printResult(TargetServer target, JsonNode response, String text) {
        PrintWriter out = spec.commandLine().getOut();
        out.println(target.json ? response.toString() : text);
        out.flush();
    }

    /**
     * Prints the response and returns true if it is a refusal. A version status is not one: its
     * {@code refused} says why a version was rejected, and only a status has {@code servers}.
     */
    private boolean reportRefusal(TargetServer target, JsonNode response) {
        String reason = response.path("refused").asText();
        if (reason.isEmpty() || response.has("servers")) {
            return false;
        }
        if (target.json) {
            printResult(target, response, "");
        } else {
            System.err.println("refused: " + reason);
        }
        return true;
    }

    @Command(
            name = "versions",
            mixinStandardHelpOptions = true,
            description =
                    "Which version is in force, how far the next has come, and who acts on which.")
    int versions(@CommandLine.Mixin TargetServer target) throws IOException {
        JsonNode status = request(target, "version-status");
        if (reportRefusal(target, status)) {
            return EXIT_FAILED;
        }
        PrintWriter out = spec.commandLine().getOut();
        if (target.json) {
            out.println(status);
        } else {
            out.printf(
                    Locale.ROOT,
                    "version %d, %s at stage %d, before it %d; by %s: %s%n",
                    status.get("version").asLong(),
                    status.get("state").asText(),
                    status.get("stage").asInt(),
                    status.get("before").asLong(),
                    status.get("by").asText(),
                    status.get("why").asText());
            if (!status.get("halted").asText().isEmpty()) {
                out.println("the last one that was stopped: " + status.get("halted").asText());
            }
            out.printf(
                    Locale.ROOT,
                    "%s acts on %d; its lease %s%n",
                    status.get("name").asText(),
                    status.get("acts").asLong(),
                    status.get("may").asBoolean()
                            ? "holds for " + status.get("lease_left_ms").asLong() + " ms"
                            : "has ended: keyed work is throttled");
            for (Map.Entry<String, JsonNode> server : status.get("servers").properties()) {
                out.printf(
                        Locale.ROOT,
                        "%-20s acts on %d%s%s%n",
                        server.getKey(),
                        server.getValue().get("acts").asLong(),
                        server.getValue().get("refused").asLong() == 0
                                ? ""
                                : ", refuses " + server.getValue().get("refused").asLong(),
                        server.getValue().get("out").asBoolean() ? ", shut out" : "");
            }
        }
        out.flush();
        return 0;
    }

    @Command(
            name = "pause",
            mixinStandardHelpOptions = true,
            description = "Stop a rollout where it is.")
    int pause(@CommandLine.Mixin TargetServer target) throws IOException {
        return requestRolloutChange(target, "pause");
    }

    @Command(
            name = "go-on",
            mixinStandardHelpOptions = true,
            description = "Let a rollout go on that was paused or halted.")
    int goOn(@CommandLine.Mixin TargetServer target) throws IOException {
        return requestRolloutChange(target, "go-on");
    }

    @Command(
            name = "take-back",
            mixinStandardHelpOptions = true,
            description = "Bring back what was before, for all at once, as a version of its own.")
    int takeBack(@CommandLine.Mixin TargetServer target) throws IOException {
        return requestRolloutChange(target, "take-back");
    }

    private int requestRolloutChange(TargetServer target, String change) throws IOException {
        JsonNode response;
        try (AdminClient client = target.connect()) {
            response =
                    JSON.readTree(
                            client.request("version-" + change, System.getProperty("user.name")));
        }
        if (reportRefusal(target, response)) {
            return EXIT_FAILED;
        }
        printResult(target, response, change + " is asked for; see `fleet versions`");
        return 0;
    }

    @Command(
            name = "leave",
            mixinStandardHelpOptions = true,
            description =
                    "Tell a server to drain and end, as SIGTERM does; waits until it is gone.")
    int leave(
            @CommandLine.Mixin TargetServer target,
            @Option(names = "--within", defaultValue = "60", description = "Seconds to wait.")
                    int timeoutSeconds)
            throws IOException, InterruptedException {
        PrintWriter out = spec.commandLine().getOut();
        String name;
        try (AdminClient client = target.connect()) {
            name = client.serverName();
            client.request("leave");
        }
        long deadlineNanos = System.nanoTime() + timeoutSeconds * 1_000_000_000L;
        while (System.nanoTime() < deadlineNanos) {
            Thread.sleep(POLL_INTERVAL_MS);
            try {
                request(target, "ping");
                if (!target.json) {
                    System.err.println(name + " drains");
                }
            } catch (IOException e) {
                boolean isGone = e.getCause() instanceof ConnectException;
                if (!isGone) {
                    continue; // a connection cut during an answer does not prove that it is gone
                }
                out.println(
                        target.json
                                ? JSON.createObjectNode()
                                        .put("name", name)
                                        .put("gone", true)
                                        .toString()
                                : name + " is gone");
                out.flush();
                return 0;
            }
        }
        System.err.println(name + " still answers after " + timeoutSeconds + " s");
        return EXIT_FAILED;
    }
}
