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
 * What the servers of a fleet keep for one another. Exit codes: 0 done, 1 it could not be asked, 2
 * wrong words or file, 3 something differs that should not.
 */
@Command(
        name = "copies",
        mixinStandardHelpOptions = true,
        description = "What the servers of a fleet keep of claims and results.")
public final class CopiesCommand implements Runnable {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int DIFFERS = 3;
    private static final int FAILED = 1;

    /** Between two looks at a repair. */
    private static final int LOOK_MS = 250;

    /** Words on one connection, fewer than a server answers there. */
    private static final int WORDS = 90;

    /** Tokens that are listed of a difference. */
    private static final int LISTED = 50;

    @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

    @Override
    public void run() {
        throw new CommandLine.ParameterException(spec.commandLine(), "a sub-command is needed");
    }

    private static JsonNode ask(FleetCommand.Whom whom, String word, String with)
            throws IOException {
        try (AdminClient client = whom.dial()) {
            return answer(client, word, with);
        }
    }

    private static JsonNode answer(AdminClient client, String word, String with)
            throws IOException {
        JsonNode told = JSON.readTree(client.request(word, with));
        if (told.has("copies") && !told.get("copies").asBoolean()) {
            throw new MalformedException(client.serverName() + " keeps no copies");
        }
        return told;
    }

    @Command(
            name = "status",
            mixinStandardHelpOptions = true,
            description = "What a server keeps, and whether it is whole.")
    int status(@CommandLine.Mixin FleetCommand.Whom whom) throws IOException {
        JsonNode told = ask(whom, "copies-status", "");
        PrintWriter out = spec.commandLine().getOut();
        if (whom.json) {
            out.println(told);
        } else {
            out.printf(
                    "%s in epoch %d of %d keepers, factor %d; disk %s%s%n",
                    told.get("name").asText(),
                    told.get("epoch").asLong(),
                    told.get("keepers").size(),
                    told.get("factor").asInt(),
                    told.get("disk").asText(),
                    told.get("returning").asBoolean() ? ", asks whether it is old" : "");
            out.printf(
                    "keeps %d tokens (%d bytes) in %d ranges, %d of them not whole%s%n",
                    told.get("entries").asLong(),
                    told.get("bytes").asLong(),
                    told.get("ranges").asInt(),
                    told.get("behind").asInt(),
                    told.get("behind").asInt() > 0
                            ? " for up to " + told.get("oldest_gap_ms").asLong() + " ms"
                            : "");
            out.printf(
                    "ranges that others have yet to hear of: %d; conflicts: %d%n",
                    told.get("hints").asInt(), told.get("conflicts").asLong());
            out.printf(
                    "fetched %d entries (%d bytes), sent %d bytes; compared %d ranges, %d"
                            + " differed%n",
                    told.get("fetched").asLong(),
                    told.get("fetched_bytes").asLong(),
                    told.get("sent_bytes").asLong(),
                    told.get("compares").asLong(),
                    told.get("differed").asLong());
            out.printf(
                    "claims under way: %d of %d; words that wait for the disk: %d%n",
                    told.get("claims_under_way").asInt(),
                    told.get("claim_limit").asInt(),
                    told.get("words_waiting").asInt());
        }
        out.flush();
        return told.get("conflicts").asLong() > 0 ? DIFFERS : 0;
    }

    @Command(
            name = "show",
            mixinStandardHelpOptions = true,
            description = "What each keeper of a token has of it.")
    int show(
            @CommandLine.Mixin FleetCommand.Whom whom,
            @Parameters(paramLabel = "TOKEN") String token)
            throws IOException {
        JsonNode first = ask(whom, "copies-show", token);
        Map<String, String> addresses = addresses(whom);
        ArrayNode all = JSON.createArrayNode();
        for (JsonNode keeper : first.get("keepers")) {
            String name = keeper.asText();
            if (name.equals(first.get("name").asText())) {
                all.add(first);
                continue;
            }
            try {
                if (!addresses.containsKey(name)) {
                    throw new IOException("it is not there");
                }
                all.add(ask(whom.at(addresses.get(name)), "copies-show", token));
            } catch (IOException e) {
                // What cannot be asked is told as such, and not as nothing.
                all.add(JSON.createObjectNode().put("name", name).put("unknown", e.getMessage()));
            }
        }
        PrintWriter out = spec.commandLine().getOut();
        if (whom.json) {
            out.println(
                    JSON.createObjectNode()
                            .put("token", token)
                            .put("range", first.get("range").asInt())
                            .put("epoch", first.get("epoch").asLong())
                            .set("keepers", all));
        } else {
            out.printf(
                    "token %s, range %d, epoch %d%n",
                    token, first.get("range").asInt(), first.get("epoch").asLong());
            for (JsonNode each : all) {
                one(out, each);
            }
        }
        out.flush();
        boolean conflict = false;
        for (JsonNode each : all) {
            conflict |= each.path("conflict").asBoolean();
        }
        return conflict ? DIFFERS : 0;
    }

    private static void one(PrintWriter out, JsonNode each) {
        if (each.has("unknown")) {
            out.printf(
                    "%-12s not known: %s%n",
                    each.get("name").asText(), each.get("unknown").asText());
            return;
        }
        out.printf(
                "%-12s %s%s%s%n",
                each.get("name").asText(),
                !each.path("known").asBoolean()
                        ? "knows nothing of it"
                        : "window ends in " + each.get("window_left_ms").asLong() + " ms",
                each.get("behind").asBoolean() ? "; its range is not whole" : "",
                each.path("conflict").asBoolean() ? "; TWO ENDS" : "");
        for (JsonNode claim : each.path("claims")) {
            out.printf(
                    "  %s %s%n",
                    claim.get("claim").asText(),
                    claim.get("released").asBoolean() ? "never ran" : "claimed it");
        }
        for (JsonNode end : each.path("ends")) {
            out.printf(
                    "  %s %s, %d bytes, sum %s%s%n",
                    end.get("claim").asText(),
                    end.get("succeeded").asBoolean() ? "succeeded" : "failed",
                    end.get("bytes").asLong(),
                    end.get("sum").asText(),
                    end.get("here").asBoolean() ? "" : ", the result is not here yet");
        }
    }

    private static Map<String, String> addresses(FleetCommand.Whom whom) throws IOException {
        try (AdminClient client = whom.dial()) {
            Map<String, String> all = new HashMap<>();
            for (JsonNode each : JSON.readTree(client.request("view")).get("members")) {
                if (each.get("state").asText().equals(MemberState.ALIVE.externalName())) {
                    all.put(each.get("name").asText(), each.get("address").asText());
                }
            }
            return all;
        }
    }

    @Command(
            name = "diff",
            mixinStandardHelpOptions = true,
            description = "What two servers have otherwise, of the ranges that both keep.")
    int diff(
            @CommandLine.Mixin FleetCommand.Whom whom,
            @Option(
                            names = "--with",
                            required = true,
                            paramLabel = "ADDRESS",
                            description = "The other server, by its address in the fleet.")
                    String with)
            throws IOException {
        JsonNode here = ask(whom, "copies-digests", "");
        JsonNode there = ask(whom.at(with), "copies-digests", "");
        PrintWriter out = spec.commandLine().getOut();
        int both = 0;
        TreeSet<Integer> differ = new TreeSet<>();
        for (Map.Entry<String, JsonNode> each : here.get("ranges").properties()) {
            JsonNode other = there.get("ranges").get(each.getKey());
            if (other == null) {
                continue;
            }
            both++;
            if (!other.get(1).equals(each.getValue().get(1))) {
                differ.add(Integer.valueOf(each.getKey()));
            }
        }
        ArrayNode tokens = JSON.createArrayNode();
        int index = 0;
        for (int range : differ) {
            if (index++ % WORDS == 0 && !whom.json) {
                System.err.println(index - 1 + " of " + differ.size() + " ranges");
            }
            tokens(whom, with, range, tokens);
        }
        if (whom.json) {
            ObjectNode told =
                    JSON.createObjectNode()
                            .put("here", here.get("name").asText())
                            .put("there", there.get("name").asText())
                            .put("epoch_here", here.get("epoch").asLong())
                            .put("epoch_there", there.get("epoch").asLong())
                            .put("ranges", both)
                            .put("differ", differ.size());
            out.println(told.set("tokens", tokens));
        } else {
            out.printf(
                    "%s in epoch %d, %s in epoch %d: %d ranges in common, %d differ, %d tokens%n",
                    here.get("name").asText(),
                    here.get("epoch").asLong(),
                    there.get("name").asText(),
                    there.get("epoch").asLong(),
                    both,
                    differ.size(),
                    tokens.size());
            for (int i = 0; i < Math.min(LISTED, tokens.size()); i++) {
                JsonNode each = tokens.get(i);
                out.printf(
                        "  %s: %s here, %s there%n",
                        each.get("token").asText(),
                        each.get("here").asText(),
                        each.get("there").asText());
            }
            if (tokens.size() > LISTED) {
                out.println("  and " + (tokens.size() - LISTED) + " more; --json lists them all");
            }
        }
        out.flush();
        return differ.isEmpty() ? 0 : DIFFERS;
    }

    private static void tokens(FleetCommand.Whom whom, String with, int range, ArrayNode into)
            throws IOException {
        Map<String, JsonNode> mine = listed(ask(whom, "copies-range", Integer.toString(range)));
        Map<String, JsonNode> theirs =
                listed(ask(whom.at(with), "copies-range", Integer.toString(range)));
        TreeSet<String> all = new TreeSet<>(mine.keySet());
        all.addAll(theirs.keySet());
        for (String token : all) {
            JsonNode a = mine.get(token);
            JsonNode b = theirs.get(token);
            if (a != null && b != null && a.get(1).equals(b.get(1))) {
                continue;
            }
            into.addObject()
                    .put("token", token)
                    .put("range", range)
                    .put("here", a == null ? "nothing" : a.get(2).asText())
                    .put("there", b == null ? "nothing" : b.get(2).asText());
        }
    }

    private static Map<String, JsonNode> listed(JsonNode told) {
        Map<String, JsonNode> all = new TreeMap<>();
        told.get("tokens").forEach(each -> all.put(each.get(0).asText(), each));
        return all;
    }

    @Command(
            name = "repair",
            mixinStandardHelpOptions = true,
            description =
                    "Let a server compare all it keeps with the other keepers, and wait until that"
                            + " is over.")
    int repair(
            @CommandLine.Mixin FleetCommand.Whom whom,
            @Option(names = "--within", defaultValue = "300", description = "Seconds to wait.")
                    int within)
            throws IOException, InterruptedException {
        PrintWriter out = spec.commandLine().getOut();
        long began = System.nanoTime();
        JsonNode before = ask(whom, "copies-status", "");
        int compares = ask(whom, "copies-repair", "").get("compares").asInt();
        JsonNode now = before;
        int quiet = 0;
        while (quiet < 2) {
            if ((System.nanoTime() - began) / 1e9 > within) {
                System.err.println("not over within " + within + " s; it goes on by itself");
                return FAILED;
            }
            Thread.sleep(LOOK_MS);
            JsonNode next = ask(whom, "copies-status", "");
            boolean idle =
                    next.get("hints").asInt() == 0
                            && next.get("fetched").equals(now.get("fetched"));
            quiet = idle ? quiet + 1 : 0;
            now = next;
            if (!whom.json) {
                System.err.printf(
                        Locale.ROOT,
                        "%d comparisons left, %d entries fetched%n",
                        now.get("hints").asInt(),
                        now.get("fetched").asLong() - before.get("fetched").asLong());
            }
        }
        long fetched = now.get("fetched").asLong() - before.get("fetched").asLong();
        if (whom.json) {
            out.println(
                    JSON.createObjectNode()
                            .put("name", now.get("name").asText())
                            .put("compares", compares)
                            .put("fetched", fetched));
        } else {
            out.printf(
                    "%s compared %d ranges and fetched %d entries%n",
                    now.get("name").asText(), compares, fetched);
        }
        out.flush();
        return 0;
    }
}
