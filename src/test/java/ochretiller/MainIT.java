package ochretiller;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.Writer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import ochretiller.fakes.GatewayMessages;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** The packaged program's command line: what it says and its exit codes. */
class MainIT {
    @TempDir private Path folder;

    /** What the process said until it ended by itself. */
    private static String said(Process process, int code) throws Exception {
        try {
            assertThat(process.waitFor(20, TimeUnit.SECONDS)).as("it ends").isTrue();
            assertThat(process.exitValue()).isEqualTo(code);
            return new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        } finally {
            process.destroyForcibly();
        }
    }

    private static void expect(Process process, int code, String... texts) throws Exception {
        assertThat(said(process, code)).contains(texts);
    }

    /** One line that names what is wrong, and the exit code of what an operator has to mend. */
    private static void expectWrong(Process process, String named) throws Exception {
        assertThat(said(process, 2).lines().toList())
                .singleElement()
                .asString()
                .startsWith("ochretiller: ")
                .contains(named);
    }

    private Path config(String text) throws IOException {
        return Files.writeString(folder.resolve("config.json"), text);
    }

    @Test
    void versionAndHelpAreTold() throws Exception {
        expect(Deployment.start(null, "version"), 0, "ochretiller 0.");
        expect(Deployment.start(null, "--help"), 0, "serve", "check", "simhost", "version");
    }

    @ParameterizedTest
    @ValueSource(strings = {"unknown", "serve --unknown", "version more", ""})
    void wrongWordsGetUsageAndCodeTwo(String words) throws Exception {
        expect(
                Deployment.start(null, words.isEmpty() ? new String[0] : words.split(" ")),
                2,
                "Usage: ochretiller");
    }

    @Test
    void goodConfigurationIsToldSo() throws Exception {
        expect(
                Deployment.start(config(GatewayMessages.config(1, 2, 3, 4)), "check"),
                0,
                "the configuration of n1 is good");
    }

    @Test
    void wrongOperationIsNamedByTheCheckToo() throws Exception {
        expectWrong(
                Deployment.start(
                        config(
                                GatewayMessages.config(1, 2, 3, 4)
                                        .replace("\"effect\":\"pure\",", "")),
                        "check"),
                "effect");
    }

    @Test
    void recordsServiceIsNeededOnlyWhereAnOperationCalls() throws Exception {
        String without = GatewayMessages.config(1, 2, 3, 4).replace("\"records\":", "\"x\":");
        expect(
                Deployment.start(config(without.replace("[true,true]", "[false,false]")), "check"),
                0,
                "the configuration of n1 is good");
        expectWrong(
                Deployment.start(config(without.replace("[true,true]", "[false,true]")), "check"),
                "records");
    }

    @Test
    void absentOrUnreadableConfigurationIsNamed() throws Exception {
        expectWrong(Deployment.start(null, "serve"), "EDGE_CONFIG");
        expectWrong(Deployment.start(folder.resolve("none"), "serve"), "cannot read");
        expectWrong(Deployment.start(config("{\"name\":"), "serve"), "not JSON");
        expectWrong(Deployment.start(config("[]"), "serve"), "no JSON object");
    }

    @ParameterizedTest
    @CsvSource({
        "name",
        "listen",
        "processor",
        "records",
        "roster",
        "seed",
        "stop_ms",
        "memory_mb",
        "sockets",
        "settings",
        "cpus",
        "memoryKb",
        "idleNs",
        "stopSendingWithinNs"
    })
    void missingOrWrongSettingIsNamed(String name) throws Exception {
        String good = GatewayMessages.config(1, 2, 3, 4);
        expectWrong(
                Deployment.start(config(good.replace("\"" + name + "\":", "\"x\":")), "serve"),
                name);
        String wrong =
                good.replaceFirst(
                        "\"" + name + "\":(\"[^\"]*\"|[^,{}]*)", "\"" + name + "\":\"%\"");
        if (!name.equals("name") && !name.equals("settings")) {
            expectWrong(Deployment.start(config(wrong), "check"), name);
        }
    }

    @Test
    void addressInUseIsToldWithCodeOne() throws Exception {
        try (Deployment deployment = new Deployment()) {
            Path config = config(GatewayMessages.config(deployment.port, 2, 3, 4));
            expect(Deployment.start(config, "serve"), 1, "ochretiller: ", "in use");
        }
    }

    /**
     * A configuration that is there only once somebody writes it: the program has come so far, and
     * waits.
     */
    private Path pipe() throws Exception {
        Path pipe = folder.resolve("pipe");
        assertThat(new ProcessBuilder("mkfifo", pipe.toString()).start().waitFor()).isZero();
        return pipe;
    }

    private static Process unsized(Path config) throws IOException {
        ProcessBuilder builder =
                new ProcessBuilder(
                                "java",
                                "-XX:TieredStopAtLevel=1",
                                "-jar",
                                "target/ochretiller.jar",
                                "serve")
                        .redirectErrorStream(true);
        builder.environment().put("EDGE_CONFIG", config.toString());
        return builder.start();
    }

    private static void signal(Process process, String name) throws Exception {
        assertThat(new ProcessBuilder("kill", "-" + name, "" + process.pid()).start().waitFor())
                .isZero();
    }

    @Test
    void hangupBeforeThereIsAServerIsNoEndAndItsConfigurationIsReadAgain() throws Exception {
        Path pipe = pipe();
        int port = Deployment.freePort();
        Process process = unsized(pipe);
        try (BufferedReader log = process.inputReader()) {
            try (Writer first = Files.newBufferedWriter(pipe)) { // opened once the program reads it
                // What is read again, before or behind the listening, is a file of another kind.
                Path next =
                        Files.writeString(
                                folder.resolve("next"), GatewayMessages.config(port, 2, 3, 5));
                Files.move(next, pipe, StandardCopyOption.REPLACE_EXISTING);
                signal(process, "HUP");
                first.write(GatewayMessages.config(port, 2, 3, 4));
            }
            List<String> said = new ArrayList<>();
            while (said.stream().noneMatch(line -> line.contains("takes the addresses"))) {
                said.add(log.readLine());
            }
            signal(process, "TERM");
            assertThat(process.waitFor(10, TimeUnit.SECONDS)).isTrue();
            assertThat(process.exitValue()).isZero();
        } finally {
            process.destroyForcibly();
        }
    }

    @Test
    void noticeToLeaveBeforeThereIsAServerEndsItWithoutListening() throws Exception {
        Path pipe = pipe();
        Process process = unsized(pipe);
        try (Writer first = Files.newBufferedWriter(pipe)) {
            signal(process, "TERM");
            signal(process, "HUP");
            said(process, 0);
            first.flush(); // nothing was written: it has ended without a configuration
        }
    }

    @Test
    void failedStartKeepsItsCodeWhateverTheHooksDo() throws Exception {
        expectWrong(unsized(config("{}")), "settings");
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "\"memory_mb\":192|\"memory_mb\" : 96|96",
                "\"memory_mb\":192|\"memory_mb\":\t144 |144"
            })
    void sizesAreThoseOfTheConfigurationWithoutAnotherProcess(String from, String to, int mb)
            throws Exception {
        Path config = config(GatewayMessages.config(1, 2, 3, 4).replace(from, to));
        // Nothing but java is found on this path: where the shell needs help, the start fails.
        Path java = Files.createDirectory(folder.resolve("bin" + mb));
        Files.writeString(java.resolve("java"), "#!/bin/sh\necho \"$@\"\n");
        assertThat(java.resolve("java").toFile().setExecutable(true)).isTrue();
        ProcessBuilder builder =
                new ProcessBuilder("/bin/sh", "deploy/serve.sh").redirectErrorStream(true);
        builder.environment().put("EDGE_CONFIG", config.toString());
        builder.environment().put("PATH", java.toString());
        expect(builder.start(), 0, "-Xmx" + (mb - 32) / 2 + "m ", "-Dochretiller.sizedForMb=" + mb);
    }

    @Test
    void sizeThatTheShellReadsDifferentlyIsNamed() throws Exception {
        String good = GatewayMessages.config(1, 2, 3, 4);
        expectWrong(
                Deployment.start(
                        config(good.replace("\"memory_mb\":192", "\"memory_mb\":\n192")), "serve"),
                "memory_mb");
    }
}
