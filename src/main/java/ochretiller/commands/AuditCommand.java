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
 * Reports from servers' audit logs which versions the servers acted on, and when. Exit codes: 0
 * success, 2 bad arguments or files, 3 an audit log is damaged or the answer is incomplete.
 */
@Command(
        name = "audit",
        mixinStandardHelpOptions = true,
        description = "What servers acted on and when, from the folders of their audits.")
public final class AuditCommand implements Runnable {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int EXIT_FAULTS = 3;

    @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

    @Override
    public void run() {
        throw new CommandLine.ParameterException(spec.commandLine(), "a sub-command is needed");
    }

    /** Options that select the audit logs to read and the period to report on. */
    static final class AuditSelection {
        @Parameters(
                paramLabel = "NAME=FOLDER",
                arity = "1..*",
                description =
                        "A server's name and the folder of its audit, a copy of it is as good.")
        private Map<String, Path> directories;

        @Option(
                names = "--from",
                paramLabel = "<from>",
                description =
                        "As 2026-01-31T08:00:00Z, or Unix milliseconds; the beginning by default.")
        private String fromOption;

        @Option(
                names = "--until",
                paramLabel = "<until>",
                description = "The same; the end by default.")
        private String untilOption;

        @Option(names = "--json", description = "JSON instead of text.")
        private boolean json;

        private final Map<String, AuditLog> logs = new LinkedHashMap<>();

        /** Reads all logs, and checks each against the chain heads that its peers recorded. */
        AuditSelection read() throws IOException {
            Map<String, List<ChainHead>> witnessedHeads = new LinkedHashMap<>();
            for (Map.Entry<String, Path> log : directories.entrySet()) {
                if (!Files.isDirectory(log.getValue())) {
                    throw new MalformedException(
                            "the audit log of "
                                    + log.getKey()
                                    + " is not a directory: "
                                    + log.getValue());
                }
                FleetTimeline.collectWitnessedHeads(
                        AuditLogReader.read(log.getValue(), List.of()).decodedRecords(),
                        witnessedHeads);
            }
            for (Map.Entry<String, Path> log : directories.entrySet()) {
                logs.put(
                        log.getKey(),
                        AuditLogReader.read(
                                log.getValue(),
                                witnessedHeads.getOrDefault(log.getKey(), List.of())));
            }
            return this;
        }

        FleetTimeline timeline() {
            FleetTimeline timeline = new FleetTimeline();
            logs.forEach((name, log) -> timeline.addServer(name, log.decodedRecords()));
            return timeline;
        }

        int faultCount() {
            return logs.values().stream().mapToInt(log -> log.faults().size()).sum();
        }

        long fromMillis() {
            if (fromOption != null) {
                return parseTimeMillis(fromOption);
            }
            return logs.values().stream()
                    .flatMap(log -> log.decodedRecords().stream())
                    .mapToLong(AuditRecord::startMillis)
                    .min()
                    .orElse(0);
        }

        long untilMillis() {
            if (untilOption != null) {
                return parseTimeMillis(untilOption);
            }
            return logs.values().stream()
                    .flatMap(log -> log.decodedRecords().stream())
                    .mapToLong(AuditRecord::endMillis)
                    .max()
                    .orElse(0);
        }

        private static long parseTimeMillis(String text) {
            if (text.matches("[0-9]{1,18}")) {
                return Long.parseLong(text);
            }
            try {
                return Instant.parse(text).toEpochMilli();
            } catch (DateTimeParseException e) {
                throw new MalformedException(
                        "not an ISO 8601 time with a zone, nor Unix milliseconds: '" + text + "'");
            }
        }
    }

    private static String isoTime(long unixMillis) {
        return Instant.ofEpochMilli(unixMillis).toString();
    }

    /** Reports damage, which makes every answer incomplete, and returns the exit code. */
    private int exitCode(AuditSelection selection, boolean hasUnknown) {
        if (selection.faultCount() > 0) {
            System.err.println(
                    selection.faultCount() + " faults in these audits: see audit verify");
        }
        return selection.faultCount() > 0 || hasUnknown ? EXIT_FAULTS : 0;
    }

    @Command(
            name = "verify",
            mixinStandardHelpOptions = true,
            description =
                    "Hold audits against themselves and against what the others know of them.")
    int verify(@CommandLine.Mixin AuditSelection selection) throws IOException {
        PrintWriter out = spec.commandLine().getOut();
        ObjectNode json = JSON.createObjectNode();
        selection
                .read()
                .logs
                .forEach(
                        (name, log) -> {
                            ObjectNode logJson =
                                    json.putObject(name)
                                            .put("records", log.records().size())
                                            .put("last", log.head().number())
                                            .put("hash", log.head().hash());
                            ArrayNode faults = logJson.putArray("faults");
                            log.faults()
                                    .forEach(
                                            fault ->
                                                    faults.addObject()
                                                            .put("record", fault.number())
                                                            .put("what", fault.description()));
                            if (selection.json) {
                                return;
                            }
                            out.printf(
                                    Locale.ROOT,
                                    "%s: %d records, the last is %d %s%n",
                                    name,
                                    log.records().size(),
                                    log.head().number(),
                                    log.faults().isEmpty() ? "; whole" : "");
                            log.faults()
                                    .forEach(
                                            fault ->
                                                    out.println(
                                                            "  record "
                                                                    + fault.number()
                                                                    + ' '
                                                                    + fault.description()));
                        });
        if (selection.json) {
            out.println(json);
        }
        out.flush();
        return selection.faultCount() > 0 ? EXIT_FAULTS : 0;
    }

    @Command(
            name = "who",
            mixinStandardHelpOptions = true,
            description = "Which servers acted on a version between two times.")
    int who(
            @Option(names = "--version-number", required = true, description = "The version.")
                    long version,
            @CommandLine.Mixin AuditSelection selection)
            throws IOException {
        Map<String, VersionStatus> statusByServer =
                selection
                        .read()
                        .timeline()
                        .serversOnVersion(version, selection.fromMillis(), selection.untilMillis());
        PrintWriter out = spec.commandLine().getOut();
        if (selection.json) {
            ObjectNode json = JSON.createObjectNode();
            statusByServer.forEach((name, status) -> json.put(name, status.externalName()));
            out.println(json);
        } else {
            statusByServer.forEach(
                    (name, status) ->
                            out.println(
                                    name
                                            + ' '
                                            + switch (status) {
                                                case ACTIVE -> "acted on it";
                                                case FENCED ->
                                                        "was on it, and shut out from keyed work";
                                                case UNKNOWN ->
                                                        "may have: not all of its time is known";
                                            }));
        }
        out.flush();
        return exitCode(selection, statusByServer.containsValue(VersionStatus.UNKNOWN));
    }

    @Command(
            name = "when",
            mixinStandardHelpOptions = true,
            description = "What each server acted on, stretch by stretch.")
    int when(@CommandLine.Mixin AuditSelection selection) throws IOException {
        List<TimelineInterval> intervals =
                selection
                        .read()
                        .timeline()
                        .intervals(selection.fromMillis(), selection.untilMillis());
        printIntervals(selection, intervals);
        return exitCode(selection, false);
    }

    @Command(name = "gaps", mixinStandardHelpOptions = true, description = "What is not known.")
    int gaps(@CommandLine.Mixin AuditSelection selection) throws IOException {
        List<TimelineInterval> gaps =
                selection
                        .read()
                        .timeline()
                        .intervals(selection.fromMillis(), selection.untilMillis())
                        .stream()
                        .filter(interval -> interval.status() == VersionStatus.UNKNOWN)
                        .toList();
        printIntervals(selection, gaps);
        return exitCode(selection, !gaps.isEmpty());
    }

    private void printIntervals(AuditSelection selection, List<TimelineInterval> intervals) {
        PrintWriter out = spec.commandLine().getOut();
        ArrayNode json = JSON.createArrayNode();
        for (TimelineInterval interval : intervals) {
            json.addObject()
                    .put("server", interval.server())
                    .put("from", interval.startMillis())
                    .put("until", interval.endMillis())
                    .put("known", interval.status().externalName())
                    .put("version", interval.version())
                    .put("text", interval.text());
            if (selection.json) {
                continue;
            }
            String description =
                    switch (interval.status()) {
                        case ACTIVE -> "version " + interval.version();
                        case FENCED ->
                                "version " + interval.version() + ", shut out from keyed work";
                        case UNKNOWN -> "not known";
                    };
            out.printf(
                    Locale.ROOT,
                    "%-16s %s to %s  %s%s%n",
                    interval.server(),
                    isoTime(interval.startMillis()),
                    isoTime(interval.endMillis()),
                    description,
                    interval.text().isEmpty() ? "" : "; " + interval.text());
        }
        if (selection.json) {
            out.println(json);
        }
        out.flush();
    }

    @Command(
            name = "token",
            mixinStandardHelpOptions = true,
            description = "Under which version a token ran.")
    int token(
            @Option(names = "--token", required = true) String token,
            @CommandLine.Mixin AuditSelection selection)
            throws IOException {
        List<TokenRun> runs = selection.read().timeline().runsOfToken(token);
        PrintWriter out = spec.commandLine().getOut();
        ArrayNode json = JSON.createArrayNode();
        for (TokenRun run : runs) {
            json.addObject()
                    .put("server", run.server())
                    .put("version", run.version())
                    .put("at", run.atMillis());
            if (!selection.json) {
                out.printf(
                        Locale.ROOT,
                        "%s  %s under version %d%n",
                        isoTime(run.atMillis()),
                        run.server(),
                        run.version());
            }
        }
        if (selection.json) {
            out.println(json);
        } else if (runs.isEmpty()) {
            out.println("no run of it is known in these audits");
        }
        out.flush();
        return exitCode(selection, runs.isEmpty());
    }

    @Command(
            name = "behind",
            mixinStandardHelpOptions = true,
            description = "Who acted on something older than others did, and for how long.")
    int behind(@CommandLine.Mixin AuditSelection selection) throws IOException {
        Map<String, Long> lagByServer =
                selection
                        .read()
                        .timeline()
                        .stragglerMillis(selection.fromMillis(), selection.untilMillis());
        PrintWriter out = spec.commandLine().getOut();
        if (selection.json) {
            out.println(JSON.valueToTree(lagByServer).toString());
        } else {
            lagByServer.forEach(
                    (name, millis) ->
                            out.printf(
                                    Locale.ROOT, "%s was behind for %.1f s%n", name, millis / 1e3));
        }
        out.flush();
        return exitCode(selection, false);
    }

    @Command(
            name = "chart",
            mixinStandardHelpOptions = true,
            description = "A lane a server, in an HTML page.")
    int chart(
            @Option(names = "--out", required = true, description = "The page.") Path file,
            @CommandLine.Mixin AuditSelection selection)
            throws IOException {
        List<TimelineInterval> intervals =
                selection
                        .read()
                        .timeline()
                        .intervals(selection.fromMillis(), selection.untilMillis());
        Files.writeString(
                file,
                VersionTimelineChart.toHtml(
                        intervals, selection.fromMillis(), selection.untilMillis()));
        return exitCode(selection, false);
    }
}
