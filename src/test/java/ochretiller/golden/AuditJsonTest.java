package ochretiller.golden;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import ochretiller.audit.AuditEvent;
import ochretiller.audit.AuditEventKind;
import ochretiller.audit.AuditRecord;
import ochretiller.audit.InvocationCounts;
import ochretiller.audit.KeyedRun;
import ochretiller.audit.VersionPeriod;
import ochretiller.audit.files.AuditLogReader;
import ochretiller.audit.files.AuditLogWriter;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Pins the JSON output and the exit codes of the audit commands. */
class AuditJsonTest {
    private static final int EXIT_FAULTS = 3;
    @TempDir private Path folder;

    @BeforeEach
    void writeAuditLogs() throws Exception {
        Map<String, InvocationCounts> none = Map.of();
        write(
                "m1",
                List.of(
                        new KeyedRun(1, 1_500, "token"),
                        new VersionPeriod(1, "", 1_000, 3_000, 2_000, none)));
        write(
                "m2",
                List.of(
                        new AuditEvent(AuditEventKind.FENCED, 1, 1_000, "its lease has ended"),
                        new VersionPeriod(1, "", 1_000, 3_000, 2_000, none)));
        write("m3", List.of(new VersionPeriod(2, "", 5_000, 9_000, 4_000, none)));
    }

    private void write(String server, List<AuditRecord> entries) throws Exception {
        Path serverFolder = Files.createDirectory(folder.resolve(server));
        AuditLogWriter writer = new AuditLogWriter(serverFolder, 1 << 20, () -> 0);
        writer.start();
        entries.forEach(writer::add);
        writer.close();
    }

    private CommandResult audit(String command, String... options) {
        String[] arguments = new String[6 + options.length];
        arguments[0] = "audit";
        arguments[1] = command;
        arguments[2] = "--json";
        System.arraycopy(options, 0, arguments, 3, options.length);
        for (int i = 1; i <= 3; i++) {
            arguments[2 + options.length + i] = "m" + i + "=" + folder.resolve("m" + i);
        }
        return CommandResult.run(arguments);
    }

    @Test
    void whoPrintsTheStatusOfEachServer() {
        CommandResult cli = audit("who", "--version-number", "1");
        assertThat(cli.output())
                .isEqualTo("{\"m1\":\"ACTED\",\"m2\":\"SHUT_OUT\",\"m3\":\"UNKNOWN\"}\n");
        assertThat(cli.exitCode()).isEqualTo(EXIT_FAULTS);
    }

    @Test
    void whenAndGapsPrintPeriods() {
        CommandResult cli = audit("when", "--until", "3000");
        assertThat(cli.output())
                .isEqualTo(
                        "["
                                + String.join(
                                        ",",
                                        period("m1", "ACTED", 1, ""),
                                        period("m2", "SHUT_OUT", 1, ""),
                                        period(
                                                "m3",
                                                "UNKNOWN",
                                                0,
                                                "nothing is recorded yet, or it is lost"))
                                + "]\n");
        assertThat(cli.exitCode()).isZero();
        CommandResult gaps = audit("gaps", "--until", "3000");
        assertThat(gaps.output())
                .isEqualTo(
                        "["
                                + period(
                                        "m3",
                                        "UNKNOWN",
                                        0,
                                        "nothing is recorded yet, or it is lost")
                                + "]\n");
        assertThat(gaps.exitCode()).isEqualTo(EXIT_FAULTS);
    }

    private static String period(String server, String known, long version, String text) {
        return "{\"server\":\""
                + server
                + "\",\"from\":1000,\"until\":3000,\"known\":\""
                + known
                + "\",\"version\":"
                + version
                + ",\"text\":\""
                + text
                + "\"}";
    }

    @Test
    void tokenPrintsTheRunsOfAToken() {
        assertThat(audit("token", "--token", "token").output())
                .isEqualTo("[{\"server\":\"m1\",\"version\":1,\"at\":1500}]\n");
        assertThat(audit("token", "--token", "other").exitCode()).isEqualTo(EXIT_FAULTS);
    }

    @Test
    void behindPrintsLaggingServers() {
        assertThat(audit("behind").output()).isEqualTo("{}\n");
    }

    @Test
    void verifyPrintsFaults() throws Exception {
        String hash = AuditLogReader.read(folder.resolve("m3"), List.of()).head().hash();
        CommandResult good = audit("verify");
        assertThat(good.json().get("m3").toString())
                .isEqualTo("{\"records\":1,\"last\":1,\"hash\":\"" + hash + "\",\"faults\":[]}");
        assertThat(good.exitCode()).isZero();
        Path file;
        try (var files = Files.list(folder.resolve("m3"))) {
            file = files.findFirst().orElseThrow();
        }
        byte[] bytes = Files.readAllBytes(file);
        bytes[bytes.length / 2] ^= 1;
        Files.write(file, bytes);
        CommandResult bad = audit("verify");
        assertThat(CommandResult.memberNames(bad.json().get("m3").get("faults").get(0)))
                .containsExactly("record", "what");
        assertThat(bad.exitCode()).isEqualTo(EXIT_FAULTS);
    }
}
