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

/**
 * Inspects and compacts a store's folder. Exit codes: 0 success, 1 the store cannot be read or is
 * in use, 3 it is damaged.
 */
@Command(
        name = "store",
        description = "Look at the store in which results are remembered.",
        mixinStandardHelpOptions = true)
public final class StoreCommand implements Runnable {
    /** Exit code for a store with a damaged file. */
    public static final int EXIT_DAMAGED = 3;

    private static final ObjectMapper JSON = new ObjectMapper();

    @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

    /** Options that all sub-commands share. */
    static final class StoreOptions {
        @Parameters(index = "0", paramLabel = "DIR", description = "The store's folder.")
        Path folder;

        @Option(names = "--json", description = "Say it as JSON.")
        boolean json;

        @Option(
                names = {"-q", "--quiet"},
                description = "No progress on standard error.")
        boolean quiet;

        StorageDirectory storageDirectory() {
            return new LocalDirectory(folder);
        }

        /**
         * Returns a consumer that prints each file's name to standard error, so that progress is
         * visible while the result is piped.
         */
        Consumer<String> progress(String activity) {
            return file -> {
                if (!quiet) {
                    System.err.println(activity + " " + file);
                }
            };
        }
    }

    @Override
    public void run() {
        throw new CommandLine.ParameterException(spec.commandLine(), "a sub-command is needed");
    }

    private static void print(Object value) {
        System.out.println(value);
    }

    private static ObjectNode toJson(StoreReport report) {
        ObjectNode json = JSON.createObjectNode();
        json.put("good", report.isUndamaged())
                .put("entries", report.entries())
                .put("bytes", report.bytes())
                .put("unfinished", report.tornBytes());
        ArrayNode files = json.putArray("files");
        for (SegmentReport file : report.segments()) {
            files.addObject()
                    .put("name", file.name())
                    .put("bytes", file.bytes())
                    .put("records", file.records())
                    .put("dead", file.deadBytes())
                    .put("sealed", file.sealed())
                    .put("damaged", file.damaged());
        }
        report.damage().forEach(json.putArray("damage")::add);
        report.leftoverFiles().forEach(json.putArray("useless")::add);
        report.unknownFiles().forEach(json.putArray("foreign")::add);
        return json;
    }

    @Command(
            name = "verify",
            description = "Read every byte; 0 where all is good, 3 where something is damaged.",
            mixinStandardHelpOptions = true)
    int verify(@CommandLine.Mixin StoreOptions common) throws IOException {
        StoreReport report =
                StoreInspector.verify(common.storageDirectory(), common.progress("reads"));
        if (common.json) {
            print(toJson(report));
        } else {
            report.damage().forEach(line -> print("damage: " + line));
            report.leftoverFiles()
                    .forEach(name -> print("half: " + name + ", deleted at the next start"));
            report.unknownFiles().forEach(name -> print("not the store's: " + name));
            if (report.tornBytes() > 0) {
                print(
                        report.tornBytes()
                                + " bytes were never written to their record's end: harmless");
            }
            print(
                    (report.isUndamaged() ? "good: " : "DAMAGED: ")
                            + report.entries()
                            + " entries in "
                            + report.segments().size()
                            + " files");
        }
        return report.isUndamaged() ? 0 : EXIT_DAMAGED;
    }

    @Command(
            name = "stat",
            description = "Sizes of the files and of what is dead in them.",
            mixinStandardHelpOptions = true)
    int stat(@CommandLine.Mixin StoreOptions common) throws IOException {
        StoreReport report =
                StoreInspector.verify(common.storageDirectory(), common.progress("reads"));
        if (common.json) {
            print(toJson(report));
            return 0;
        }
        print(
                String.format(
                        "%-24s %12s %9s %12s  %s", "file", "bytes", "records", "dead", "state"));
        for (SegmentReport file : report.segments()) {
            print(
                    String.format(
                            "%-24s %12d %9d %12d  %s",
                            file.name(),
                            file.bytes(),
                            file.records(),
                            file.deadBytes(),
                            file.damaged() ? "damaged" : file.sealed() ? "sealed" : "open"));
        }
        print(report.entries() + " entries, " + report.bytes() + " bytes");
        return 0;
    }

    @Command(
            name = "list",
            description = "What is remembered, a line each.",
            mixinStandardHelpOptions = true)
    int list(@CommandLine.Mixin StoreOptions common) throws IOException {
        StoreInspector.list(
                common.storageDirectory(),
                entry -> {
                    IdempotencyRecord record =
                            IdempotencyRecord.decode(entry.key(), entry.metadata()).orElse(null);
                    if (common.json) {
                        ObjectNode line = JSON.createObjectNode();
                        if (record != null) {
                            line.put("token", record.token())
                                    .put("state", record.progress().externalName())
                                    .put("operation", record.operation())
                                    .put("rid", record.runId())
                                    .put("until", record.windowEndsAtMillis());
                        } else {
                            String description =
                                    ReplicaStorage.describeKey(entry.key()).orElse(null);
                            if (description == null) {
                                line.put("key", entry.key());
                            } else {
                                line.put("about", description);
                            }
                        }
                        print(
                                line.put("expires", entry.expiresAtMillis())
                                        .put("file", entry.file())
                                        .put("at", entry.offset())
                                        .put("bytes", entry.bytes()));
                    } else if (record == null) {
                        String description = ReplicaStorage.describeKey(entry.key()).orElse(null);
                        print(
                                (description == null
                                                ? "a key of "
                                                        + entry.key().length
                                                        + " bytes that is no mark"
                                                : description)
                                        + ", in "
                                        + entry.file()
                                        + " at "
                                        + entry.offset());
                    } else {
                        print(
                                record.token()
                                        + " "
                                        + record.progress().externalName()
                                        + " "
                                        + record.operation()
                                        + " run "
                                        + record.runId()
                                        + ", "
                                        + entry.bytes()
                                        + " bytes in "
                                        + entry.file());
                    }
                });
        return 0;
    }

    @Command(
            name = "compact",
            description = "Copy what is live and drop the rest; the store must not be in use.",
            mixinStandardHelpOptions = true)
    int compact(@CommandLine.Mixin StoreOptions common) throws IOException {
        CompactionReport report =
                StoreInspector.compact(common.storageDirectory(), common.progress("copies"));
        if (common.json) {
            print(
                    JSON.createObjectNode()
                            .put("before", report.bytesBefore())
                            .put("after", report.bytesAfter()));
        } else {
            print(report.bytesBefore() + " bytes before, " + report.bytesAfter() + " after");
        }
        return 0;
    }
}
