package ochretiller.commands;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Path;
import java.util.function.Consumer;
import ochretiller.fleet.service.ReplicaStorage;
import ochretiller.idempotency.durable.IdempotencyRecord;
import ochretiller.store.CompactionReport;
import ochretiller.store.LocalDirectory;
import ochretiller.store.SegmentReport;
import ochretiller.store.StorageDirectory;
import ochretiller.store.StoreInspector;
import ochretiller.store.StoreReport;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Looks at a store's folder. Exit codes: 0 good, 1 cannot be read or is in use, 3 damaged. */
@Command(
        name = "store",
        description = "Look at the store in which results are remembered.",
        mixinStandardHelpOptions = true)
public final class StoreCommand implements Runnable {
    /** Something in the store is damaged. */
    public static final int DAMAGED = 3;

    private static final ObjectMapper JSON = new ObjectMapper();

    @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

    /** The options that all of them have. */
    static final class Common {
        @Parameters(index = "0", paramLabel = "DIR", description = "The store's folder.")
        Path folder;

        @Option(names = "--json", description = "Say it as JSON.")
        boolean json;

        @Option(
                names = {"-q", "--quiet"},
                description = "No progress on standard error.")
        boolean quiet;

        StorageDirectory disk() {
            return new LocalDirectory(folder);
        }

        /**
         * A line for each file, on standard error, so that long work can be watched and its result
         * still be piped.
         */
        Consumer<String> progress(String doing) {
            return file -> {
                if (!quiet) {
                    System.err.println(doing + " " + file);
                }
            };
        }
    }

    @Override
    public void run() {
        throw new CommandLine.ParameterException(spec.commandLine(), "a sub-command is needed");
    }

    private static void say(Object text) {
        System.out.println(text);
    }

    private static ObjectNode report(StoreReport report) {
        ObjectNode all = JSON.createObjectNode();
        all.put("good", report.isUndamaged())
                .put("entries", report.entries())
                .put("bytes", report.bytes())
                .put("unfinished", report.tornBytes());
        ArrayNode files = all.putArray("files");
        for (SegmentReport file : report.segments()) {
            files.addObject()
                    .put("name", file.name())
                    .put("bytes", file.bytes())
                    .put("records", file.records())
                    .put("dead", file.deadBytes())
                    .put("sealed", file.sealed())
                    .put("damaged", file.damaged());
        }
        report.damage().forEach(all.putArray("damage")::add);
        report.leftoverFiles().forEach(all.putArray("useless")::add);
        report.unknownFiles().forEach(all.putArray("foreign")::add);
        return all;
    }

    @Command(
            name = "verify",
            description = "Read every byte; 0 where all is good, 3 where something is damaged.",
            mixinStandardHelpOptions = true)
    int verify(@CommandLine.Mixin Common common) throws IOException {
        StoreReport report = StoreInspector.verify(common.disk(), common.progress("reads"));
        if (common.json) {
            say(report(report));
        } else {
            report.damage().forEach(line -> say("damage: " + line));
            report.leftoverFiles()
                    .forEach(name -> say("half: " + name + ", deleted at the next start"));
            report.unknownFiles().forEach(name -> say("not the store's: " + name));
            if (report.tornBytes() > 0) {
                say(
                        report.tornBytes()
                                + " bytes were never written to their record's end: harmless");
            }
            say(
                    (report.isUndamaged() ? "good: " : "DAMAGED: ")
                            + report.entries()
                            + " entries in "
                            + report.segments().size()
                            + " files");
        }
        return report.isUndamaged() ? 0 : DAMAGED;
    }

    @Command(
            name = "stat",
            description = "Sizes of the files and of what is dead in them.",
            mixinStandardHelpOptions = true)
    int stat(@CommandLine.Mixin Common common) throws IOException {
        StoreReport report = StoreInspector.verify(common.disk(), common.progress("reads"));
        if (common.json) {
            say(report(report));
            return 0;
        }
        say(String.format("%-24s %12s %9s %12s  %s", "file", "bytes", "records", "dead", "state"));
        for (SegmentReport file : report.segments()) {
            say(
                    String.format(
                            "%-24s %12d %9d %12d  %s",
                            file.name(),
                            file.bytes(),
                            file.records(),
                            file.deadBytes(),
                            file.damaged() ? "damaged" : file.sealed() ? "sealed" : "open"));
        }
        say(report.entries() + " entries, " + report.bytes() + " bytes");
        return 0;
    }

    @Command(
            name = "list",
            description = "What is remembered, a line each.",
            mixinStandardHelpOptions = true)
    int list(@CommandLine.Mixin Common common) throws IOException {
        StoreInspector.list(
                common.disk(),
                item -> {
                    IdempotencyRecord mark =
                            IdempotencyRecord.decode(item.key(), item.metadata()).orElse(null);
                    if (common.json) {
                        ObjectNode line = JSON.createObjectNode();
                        if (mark != null) {
                            line.put("token", mark.token())
                                    .put("state", mark.progress().externalName())
                                    .put("operation", mark.operation())
                                    .put("rid", mark.runId())
                                    .put("until", mark.windowEndsAtMillis());
                        } else {
                            String about = ReplicaStorage.about(item.key());
                            if (about == null) {
                                line.put("key", item.key());
                            } else {
                                line.put("about", about);
                            }
                        }
                        say(
                                line.put("expires", item.expiresAtMillis())
                                        .put("file", item.file())
                                        .put("at", item.offset())
                                        .put("bytes", item.bytes()));
                    } else if (mark == null) {
                        String about = ReplicaStorage.about(item.key());
                        say(
                                (about == null
                                                ? "a key of "
                                                        + item.key().length
                                                        + " bytes that is no mark"
                                                : about)
                                        + ", in "
                                        + item.file()
                                        + " at "
                                        + item.offset());
                    } else {
                        say(
                                mark.token()
                                        + " "
                                        + mark.progress().externalName()
                                        + " "
                                        + mark.operation()
                                        + " run "
                                        + mark.runId()
                                        + ", "
                                        + item.bytes()
                                        + " bytes in "
                                        + item.file());
                    }
                });
        return 0;
    }

    @Command(
            name = "compact",
            description = "Copy what is live and drop the rest; the store must not be in use.",
            mixinStandardHelpOptions = true)
    int compact(@CommandLine.Mixin Common common) throws IOException {
        CompactionReport report = StoreInspector.compact(common.disk(), common.progress("copies"));
        if (common.json) {
            say(
                    JSON.createObjectNode()
                            .put("before", report.bytesBefore())
                            .put("after", report.bytesAfter()));
        } else {
            say(report.bytesBefore() + " bytes before, " + report.bytesAfter() + " after");
        }
        return 0;
    }
}
