package ochretiller.commands;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.PrintWriter;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import ochretiller.fleet.membership.MemberState;
import ochretiller.fleet.transport.AdminClient;
import ochretiller.settings.MalformedException;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/**
 * Inspects and repairs the replicated claims and results of a fleet. Exit codes: 0 success, 1 a
 * server could not be reached or a repair timed out, 2 bad arguments or file, 3 replicas differ or
 * have conflicting results.
 */
@Command(
        name = "copies",
        mixinStandardHelpOptions = true,
        description = "What the servers of a fleet keep of claims and results.")
public final class CopiesCommand implements Runnable {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int EXIT_DIFFERENT = 3;
    private static final int EXIT_FAILED = 1;

    /** Time between two status requests during a repair. */
    private static final int POLL_INTERVAL_MS = 250;

    /** Number of ranges compared between two lines of progress. */
    private static final int RANGES_PER_PROGRESS_LINE = 90;

    /** Maximum number of differing tokens printed as text; JSON output has all of them. */
    private static final int MAX_PRINTED_TOKENS = 50;

    @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

    @Override
    public void run() {
        throw new CommandLine.ParameterException(spec.commandLine(), "a sub-command is needed");
    }

    private static JsonNode request(
            FleetCommand.TargetServer target, String command, String arguments) throws IOException {
        try (AdminClient client = target.connect()) {
            return sendRequest(client, command, arguments);
        }
    }

    private static JsonNode sendRequest(AdminClient client, String command, String arguments)
            throws IOException {
        JsonNode response = JSON.readTree(client.request(command, arguments));
        if (response.has("copies") && !response.get("copies").asBoolean()) {
            throw new MalformedException(
                    "server " + client.serverName() + " has no replication configured");
        }
        return response;
    }

    @Command(
            name = "status",
            mixinStandardHelpOptions = true,
            description = "What a server keeps, and whether it is whole.")
    int status(@CommandLine.Mixin FleetCommand.TargetServer target) throws IOException {
        JsonNode status = request(target, "copies-status", "");
        PrintWriter out = spec.commandLine().getOut();
        if (target.json) {
            out.println(status);
        } else {
            out.printf(
                    "%s in epoch %d of %d keepers, factor %d; disk %s%s%n",
                    status.get("name").asText(),
                    status.get("epoch").asLong(),
                    status.get("keepers").size(),
                    status.get("factor").asInt(),
                    status.get("disk").asText(),
                    status.get("returning").asBoolean() ? ", asks whether it is old" : "");
            out.printf(
                    "keeps %d tokens (%d bytes) in %d ranges, %d of them not whole%s%n",
                    status.get("entries").asLong(),
                    status.get("bytes").asLong(),
                    status.get("ranges").asInt(),
                    status.get("behind").asInt(),
                    status.get("behind").asInt() > 0
                            ? " for up to " + status.get("oldest_gap_ms").asLong() + " ms"
                            : "");
            out.printf(
                    "ranges that others have yet to hear of: %d; conflicts: %d%n",
                    status.get("hints").asInt(), status.get("conflicts").asLong());
            out.printf(
                    "fetched %d entries (%d bytes), sent %d bytes; compared %d ranges, %d"
                            + " differed%n",
                    status.get("fetched").asLong(),
                    status.get("fetched_bytes").asLong(),
                    status.get("sent_bytes").asLong(),
                    status.get("compares").asLong(),
                    status.get("differed").asLong());
            out.printf(
                    "claims under way: %d of %d; words that wait for the disk: %d%n",
                    status.get("claims_under_way").asInt(),
                    status.get("claim_limit").asInt(),
                    status.get("words_waiting").asInt());
        }
        out.flush();
        return status.get("conflicts").asLong() > 0 ? EXIT_DIFFERENT : 0;
    }

    @Command(
            name = "show",
            mixinStandardHelpOptions = true,
            description = "What each keeper of a token has of it.")
    int show(
            @CommandLine.Mixin FleetCommand.TargetServer target,
            @Parameters(paramLabel = "TOKEN") String token)
            throws IOException {
        JsonNode targetReplica = request(target, "copies-show", token);
        Map<String, String> addressByName = aliveAddresses(target);
        ArrayNode replicas = JSON.createArrayNode();
        for (JsonNode keeper : targetReplica.get("keepers")) {
            String name = keeper.asText();
            if (name.equals(targetReplica.get("name").asText())) {
                replicas.add(targetReplica);
                continue;
            }
            try {
                if (!addressByName.containsKey(name)) {
                    throw new IOException("it is not there");
                }
                replicas.add(
                        request(target.atAddress(addressByName.get(name)), "copies-show", token));
            } catch (IOException e) {
                // An unreachable replica is unknown; it must not look like one without an entry.
                replicas.add(
                        JSON.createObjectNode().put("name", name).put("unknown", e.getMessage()));
            }
        }
        PrintWriter out = spec.commandLine().getOut();
        if (target.json) {
            out.println(
                    JSON.createObjectNode()
                            .put("token", token)
                            .put("range", targetReplica.get("range").asInt())
                            .put("epoch", targetReplica.get("epoch").asLong())
                            .set("keepers", replicas));
        } else {
            out.printf(
                    "token %s, range %d, epoch %d%n",
                    token, targetReplica.get("range").asInt(), targetReplica.get("epoch").asLong());
            for (JsonNode replica : replicas) {
                printReplica(out, replica);
            }
        }
        out.flush();
        boolean hasConflict = false;
        for (JsonNode replica : replicas) {
            hasConflict |= replica.path("conflict").asBoolean();
        }
        return hasConflict ? EXIT_DIFFERENT : 0;
    }

    private static void printReplica(PrintWriter out, JsonNode replica) {
        if (replica.has("unknown")) {
            out.printf(
                    "%-12s not known: %s%n",
                    replica.get("name").asText(), replica.get("unknown").asText());
            return;
        }
        out.printf(
                "%-12s %s%s%s%n",
                replica.get("name").asText(),
                !replica.path("known").asBoolean()
                        ? "knows nothing of it"
                        : "window ends in " + replica.get("window_left_ms").asLong() + " ms",
                replica.get("behind").asBoolean() ? "; its range is not whole" : "",
                replica.path("conflict").asBoolean() ? "; TWO ENDS" : "");
        for (JsonNode claim : replica.path("claims")) {
            out.printf(
                    "  %s %s%n",
                    claim.get("claim").asText(),
                    claim.get("released").asBoolean() ? "never ran" : "claimed it");
        }
        for (JsonNode outcome : replica.path("ends")) {
            out.printf(
                    "  %s %s, %d bytes, sum %s%s%n",
                    outcome.get("claim").asText(),
                    outcome.get("succeeded").asBoolean() ? "succeeded" : "failed",
                    outcome.get("bytes").asLong(),
                    outcome.get("sum").asText(),
                    outcome.get("here").asBoolean() ? "" : ", the result is not here yet");
        }
    }

    private static Map<String, String> aliveAddresses(FleetCommand.TargetServer target)
            throws IOException {
        try (AdminClient client = target.connect()) {
            Map<String, String> addressByName = new HashMap<>();
            for (JsonNode member : JSON.readTree(client.request("view")).get("members")) {
                if (member.get("state").asText().equals(MemberState.ALIVE.externalName())) {
                    addressByName.put(member.get("name").asText(), member.get("address").asText());
                }
            }
            return addressByName;
        }
    }

    @Command(
            name = "diff",
            mixinStandardHelpOptions = true,
            description = "What two servers have otherwise, of the ranges that both keep.")
    int diff(
            @CommandLine.Mixin FleetCommand.TargetServer target,
            @Option(
                            names = "--with",
                            required = true,
                            paramLabel = "ADDRESS",
                            description = "The other server, by its address in the fleet.")
                    String otherAddress)
            throws IOException {
        JsonNode here = request(target, "copies-digests", "");
        JsonNode there = request(target.atAddress(otherAddress), "copies-digests", "");
        PrintWriter out = spec.commandLine().getOut();
        int commonRanges = 0;
        TreeSet<Integer> differingRanges = new TreeSet<>();
        for (Map.Entry<String, JsonNode> range : here.get("ranges").properties()) {
            JsonNode other = there.get("ranges").get(range.getKey());
            if (other == null) {
                continue;
            }
            commonRanges++;
            if (!other.get(1).equals(range.getValue().get(1))) {
                differingRanges.add(Integer.valueOf(range.getKey()));
            }
        }
        ArrayNode tokens = JSON.createArrayNode();
        int compared = 0;
        for (int range : differingRanges) {
            if (compared++ % RANGES_PER_PROGRESS_LINE == 0 && !target.json) {
                System.err.println(compared - 1 + " of " + differingRanges.size() + " ranges");
            }
            addDifferingTokens(target, otherAddress, range, tokens);
        }
        if (target.json) {
            ObjectNode summary =
                    JSON.createObjectNode()
                            .put("here", here.get("name").asText())
                            .put("there", there.get("name").asText())
                            .put("epoch_here", here.get("epoch").asLong())
                            .put("epoch_there", there.get("epoch").asLong())
                            .put("ranges", commonRanges)
                            .put("differ", differingRanges.size());
            out.println(summary.set("tokens", tokens));
        } else {
            out.printf(
                    "%s in epoch %d, %s in epoch %d: %d ranges in common, %d differ, %d tokens%n",
                    here.get("name").asText(),
                    here.get("epoch").asLong(),
                    there.get("name").asText(),
                    there.get("epoch").asLong(),
                    commonRanges,
                    differingRanges.size(),
                    tokens.size());
            for (int i = 0; i < Math.min(MAX_PRINTED_TOKENS, tokens.size()); i++) {
                JsonNode token = tokens.get(i);
                out.printf(
                        "  %s: %s here, %s there%n",
                        token.get("token").asText(),
                        token.get("here").asText(),
                        token.get("there").asText());
            }
            if (tokens.size() > MAX_PRINTED_TOKENS) {
                out.println(
                        "  and "
                                + (tokens.size() - MAX_PRINTED_TOKENS)
                                + " more; --json lists them all");
            }
        }
        out.flush();
        return differingRanges.isEmpty() ? 0 : EXIT_DIFFERENT;
    }

    private static void addDifferingTokens(
            FleetCommand.TargetServer target,
            String otherAddress,
            int range,
            ArrayNode differingTokens)
            throws IOException {
        Map<String, JsonNode> entriesHere =
                entriesByToken(request(target, "copies-range", Integer.toString(range)));
        Map<String, JsonNode> entriesThere =
                entriesByToken(
                        request(
                                target.atAddress(otherAddress),
                                "copies-range",
                                Integer.toString(range)));
        TreeSet<String> allTokens = new TreeSet<>(entriesHere.keySet());
        allTokens.addAll(entriesThere.keySet());
        for (String token : allTokens) {
            JsonNode here = entriesHere.get(token);
            JsonNode there = entriesThere.get(token);
            if (here != null && there != null && here.get(1).equals(there.get(1))) {
                continue;
            }
            differingTokens
                    .addObject()
                    .put("token", token)
                    .put("range", range)
                    .put("here", here == null ? "nothing" : here.get(2).asText())
                    .put("there", there == null ? "nothing" : there.get(2).asText());
        }
    }

    private static Map<String, JsonNode> entriesByToken(JsonNode response) {
        Map<String, JsonNode> entries = new TreeMap<>();
        response.get("tokens").forEach(entry -> entries.put(entry.get(0).asText(), entry));
        return entries;
    }

    @Command(
            name = "repair",
            mixinStandardHelpOptions = true,
            description =
                    "Let a server compare all it keeps with the other keepers, and wait until that"
                            + " is over.")
    int repair(
            @CommandLine.Mixin FleetCommand.TargetServer target,
            @Option(names = "--within", defaultValue = "300", description = "Seconds to wait.")
                    int timeoutSeconds)
            throws IOException, InterruptedException {
        PrintWriter out = spec.commandLine().getOut();
        long startNanos = System.nanoTime();
        JsonNode before = request(target, "copies-status", "");
        int comparisons = request(target, "copies-repair", "").get("compares").asInt();
        JsonNode current = before;
        int idlePolls = 0;
        while (idlePolls < 2) {
            if ((System.nanoTime() - startNanos) / 1e9 > timeoutSeconds) {
                System.err.println(
                        "not over within " + timeoutSeconds + " s; it goes on by itself");
                return EXIT_FAILED;
            }
            Thread.sleep(POLL_INTERVAL_MS);
            JsonNode latest = request(target, "copies-status", "");
            boolean isIdle =
                    latest.get("hints").asInt() == 0
                            && latest.get("fetched").equals(current.get("fetched"));
            idlePolls = isIdle ? idlePolls + 1 : 0;
            current = latest;
            if (!target.json) {
                System.err.printf(
                        Locale.ROOT,
                        "%d comparisons left, %d entries fetched%n",
                        current.get("hints").asInt(),
                        current.get("fetched").asLong() - before.get("fetched").asLong());
            }
        }
        long fetched = current.get("fetched").asLong() - before.get("fetched").asLong();
        if (target.json) {
            out.println(
                    JSON.createObjectNode()
                            .put("name", current.get("name").asText())
                            .put("compares", comparisons)
                            .put("fetched", fetched));
        } else {
            out.printf(
                    "%s compared %d ranges and fetched %d entries%n",
                    current.get("name").asText(), comparisons, fetched);
        }
        out.flush();
        return 0;
    }
}
