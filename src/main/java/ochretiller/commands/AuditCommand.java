package ochretiller.commands;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.time.format.DateTimeParseException;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import ochretiller.audit.AuditRecord;
import ochretiller.audit.ChainHead;
import ochretiller.audit.FleetTimeline;
import ochretiller.audit.TimelineInterval;
import ochretiller.audit.TokenRun;
import ochretiller.audit.VersionStatus;
import ochretiller.audit.files.AuditLog;
import ochretiller.audit.files.AuditLogReader;
import ochretiller.settings.MalformedException;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/**
 * What servers acted on, from their audits. Exit codes: 0 done, 2 wrong words or files, 3 something
 * is damaged, missing or not known.
 */
@Command(
        name = "audit",
        mixinStandardHelpOptions = true,
        description = "What servers acted on and when, from the folders of their audits.")
public final class AuditCommand implements Runnable {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int FAULTS = 3;

    @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

    @Override
    public void run() {
        throw new CommandLine.ParameterException(spec.commandLine(), "a sub-command is needed");
    }

    /** Which folders, and between which times. */
    static final class What {
        @Parameters(
                paramLabel = "NAME=FOLDER",
                arity = "1..*",
                description =
                        "A server's name and the folder of its audit, a copy of it is as good.")
        private Map<String, Path> folders;

        @Option(
                names = "--from",
                paramLabel = "<from>",
                description =
                        "As 2026-01-31T08:00:00Z, or Unix milliseconds; the beginning by default.")
        private String from;

        @Option(
                names = "--until",
                paramLabel = "<until>",
                description = "The same; the end by default.")
        private String until;

        @Option(names = "--json", description = "JSON instead of text.")
        private boolean json;

        private final Map<String, AuditLog> found = new LinkedHashMap<>();

        /** Reads all of it; what each server's audit knows of another's is held against that. */
        What read() throws IOException {
            Map<String, List<ChainHead>> known = new LinkedHashMap<>();
            for (Map.Entry<String, Path> each : folders.entrySet()) {
                if (!Files.isDirectory(each.getValue())) {
                    throw new MalformedException("there is no folder " + each.getValue());
                }
                FleetTimeline.collectWitnessedHeads(
                        AuditLogReader.read(each.getValue(), List.of()).decodedRecords(), known);
            }
            for (Map.Entry<String, Path> each : folders.entrySet()) {
                found.put(
                        each.getKey(),
                        AuditLogReader.read(
                                each.getValue(), known.getOrDefault(each.getKey(), List.of())));
            }
            return this;
        }

        FleetTimeline line() {
            FleetTimeline line = new FleetTimeline();
            found.forEach((name, each) -> line.addServer(name, each.decodedRecords()));
            return line;
        }

        int faults() {
            return found.values().stream().mapToInt(each -> each.faults().size()).sum();
        }

        long from() {
            if (from != null) {
                return time(from);
            }
            return found.values().stream()
                    .flatMap(each -> each.decodedRecords().stream())
                    .mapToLong(AuditRecord::startMillis)
                    .min()
                    .orElse(0);
        }

        long until() {
            if (until != null) {
                return time(until);
            }
            return found.values().stream()
                    .flatMap(each -> each.decodedRecords().stream())
                    .mapToLong(AuditRecord::endMillis)
                    .max()
                    .orElse(0);
        }

        private static long time(String text) {
            if (text.matches("[0-9]{1,18}")) {
                return Long.parseLong(text);
            }
            try {
                return Instant.parse(text).toEpochMilli();
            } catch (DateTimeParseException e) {
                throw new MalformedException("no time: '" + text + "'");
            }
        }
    }

    private static String at(long ms) {
        return Instant.ofEpochMilli(ms).toString();
    }

    /** Where something is damaged, no answer is whole: it is told with each. */
    private int end(What what, boolean unknown) {
        if (what.faults() > 0) {
            System.err.println(what.faults() + " faults in these audits: see audit verify");
        }
        return what.faults() > 0 || unknown ? FAULTS : 0;
    }

    @Command(
            name = "verify",
            mixinStandardHelpOptions = true,
            description =
                    "Hold audits against themselves and against what the others know of them.")
    int verify(@CommandLine.Mixin What what) throws IOException {
        PrintWriter out = spec.commandLine().getOut();
        ObjectNode all = JSON.createObjectNode();
        what.read()
                .found
                .forEach(
                        (name, each) -> {
                            ObjectNode one =
                                    all.putObject(name)
                                            .put("records", each.records().size())
                                            .put("last", each.head().number())
                                            .put("hash", each.head().hash());
                            ArrayNode faults = one.putArray("faults");
                            each.faults()
                                    .forEach(
                                            fault ->
                                                    faults.addObject()
                                                            .put("record", fault.number())
                                                            .put("what", fault.description()));
                            if (what.json) {
                                return;
                            }
                            out.printf(
                                    Locale.ROOT,
                                    "%s: %d records, the last is %d %s%n",
                                    name,
                                    each.records().size(),
                                    each.head().number(),
                                    each.faults().isEmpty() ? "; whole" : "");
                            each.faults()
                                    .forEach(
                                            fault ->
                                                    out.println(
                                                            "  record "
                                                                    + fault.number()
                                                                    + ' '
                                                                    + fault.description()));
                        });
        if (what.json) {
            out.println(all);
        }
        out.flush();
        return what.faults() > 0 ? FAULTS : 0;
    }

    @Command(
            name = "who",
            mixinStandardHelpOptions = true,
            description = "Which servers acted on a version between two times.")
    int who(
            @Option(names = "--version-number", required = true, description = "The version.")
                    long version,
            @CommandLine.Mixin What what)
            throws IOException {
        Map<String, VersionStatus> who =
                what.read().line().serversOnVersion(version, what.from(), what.until());
        PrintWriter out = spec.commandLine().getOut();
        if (what.json) {
            ObjectNode all = JSON.createObjectNode();
            who.forEach((name, known) -> all.put(name, known.externalName()));
            out.println(all);
        } else {
            who.forEach(
                    (name, known) ->
                            out.println(
                                    name
                                            + ' '
                                            + switch (known) {
                                                case ACTIVE -> "acted on it";
                                                case FENCED ->
                                                        "was on it, and shut out from keyed work";
                                                case UNKNOWN ->
                                                        "may have: not all of its time is known";
                                            }));
        }
        out.flush();
        return end(what, who.containsValue(VersionStatus.UNKNOWN));
    }

    @Command(
            name = "when",
            mixinStandardHelpOptions = true,
            description = "What each server acted on, stretch by stretch.")
    int when(@CommandLine.Mixin What what) throws IOException {
        List<TimelineInterval> all = what.read().line().intervals(what.from(), what.until());
        stretches(what, all);
        return end(what, false);
    }

    @Command(name = "gaps", mixinStandardHelpOptions = true, description = "What is not known.")
    int gaps(@CommandLine.Mixin What what) throws IOException {
        List<TimelineInterval> gaps =
                what.read().line().intervals(what.from(), what.until()).stream()
                        .filter(each -> each.status() == VersionStatus.UNKNOWN)
                        .toList();
        stretches(what, gaps);
        return end(what, !gaps.isEmpty());
    }

    private void stretches(What what, List<TimelineInterval> all) {
        PrintWriter out = spec.commandLine().getOut();
        ArrayNode array = JSON.createArrayNode();
        for (TimelineInterval each : all) {
            array.addObject()
                    .put("server", each.server())
                    .put("from", each.startMillis())
                    .put("until", each.endMillis())
                    .put("known", each.status().externalName())
                    .put("version", each.version())
                    .put("text", each.text());
            if (what.json) {
                continue;
            }
            String acted =
                    switch (each.status()) {
                        case ACTIVE -> "version " + each.version();
                        case FENCED -> "version " + each.version() + ", shut out from keyed work";
                        case UNKNOWN -> "not known";
                    };
            out.printf(
                    Locale.ROOT,
                    "%-16s %s to %s  %s%s%n",
                    each.server(),
                    at(each.startMillis()),
                    at(each.endMillis()),
                    acted,
                    each.text().isEmpty() ? "" : "; " + each.text());
        }
        if (what.json) {
            out.println(array);
        }
        out.flush();
    }

    @Command(
            name = "token",
            mixinStandardHelpOptions = true,
            description = "Under which version a token ran.")
    int token(
            @Option(names = "--token", required = true) String token, @CommandLine.Mixin What what)
            throws IOException {
        List<TokenRun> runs = what.read().line().runsOfToken(token);
        PrintWriter out = spec.commandLine().getOut();
        ArrayNode array = JSON.createArrayNode();
        for (TokenRun each : runs) {
            array.addObject()
                    .put("server", each.server())
                    .put("version", each.version())
                    .put("at", each.atMillis());
            if (!what.json) {
                out.printf(
                        Locale.ROOT,
                        "%s  %s under version %d%n",
                        at(each.atMillis()),
                        each.server(),
                        each.version());
            }
        }
        if (what.json) {
            out.println(array);
        } else if (runs.isEmpty()) {
            out.println("no run of it is known in these audits");
        }
        out.flush();
        return end(what, runs.isEmpty());
    }

    @Command(
            name = "behind",
            mixinStandardHelpOptions = true,
            description = "Who acted on something older than others did, and for how long.")
    int behind(@CommandLine.Mixin What what) throws IOException {
        Map<String, Long> behind = what.read().line().stragglerMillis(what.from(), what.until());
        PrintWriter out = spec.commandLine().getOut();
        if (what.json) {
            out.println(JSON.valueToTree(behind).toString());
        } else {
            behind.forEach(
                    (name, ms) ->
                            out.printf(Locale.ROOT, "%s was behind for %.1f s%n", name, ms / 1e3));
        }
        out.flush();
        return end(what, false);
    }

    @Command(
            name = "chart",
            mixinStandardHelpOptions = true,
            description = "A lane a server, in an HTML page.")
    int chart(
            @Option(names = "--out", required = true, description = "The page.") Path page,
            @CommandLine.Mixin What what)
            throws IOException {
        List<TimelineInterval> all = what.read().line().intervals(what.from(), what.until());
        Files.writeString(page, VersionTimelineChart.page(all, what.from(), what.until()));
        return end(what, false);
    }
}
