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

/** Tests the output and exit codes of the packaged program's command line. */
class MainIT {
    @TempDir private Path folder;

    /** Waits until the process exits with this code, and returns its output. */
    private static String outputOf(Process process, int expectedCode) throws Exception {
        try {
            assertThat(process.waitFor(20, TimeUnit.SECONDS)).as("it has exited").isTrue();
            assertThat(process.exitValue()).isEqualTo(expectedCode);
            return new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        } finally {
            process.destroyForcibly();
        }
    }

    private static void expect(Process process, int code, String... texts) throws Exception {
        assertThat(outputOf(process, code)).contains(texts);
    }

    /** Expects exit code 2, for invalid input, and one line of output that contains a text. */
    private static void expectInvalid(Process process, String text) throws Exception {
        assertThat(outputOf(process, 2).lines().toList())
                .singleElement()
                .asString()
                .startsWith("ochretiller: ")
                .contains(text);
    }

    private Path config(String text) throws IOException {
        return Files.writeString(folder.resolve("config.json"), text);
    }

    @Test
    void versionAndHelpArePrinted() throws Exception {
        expect(Deployment.start(null, "version"), 0, "ochretiller 0.");
        expect(Deployment.start(null, "--help"), 0, "serve", "check", "simhost", "version");
    }

    @ParameterizedTest
    @ValueSource(strings = {"unknown", "serve --unknown", "version more", ""})
    void invalidArgumentsPrintUsageAndExitWithTwo(String arguments) throws Exception {
        expect(
                Deployment.start(null, arguments.isEmpty() ? new String[0] : arguments.split(" ")),
                2,
                "Usage: ochretiller");
    }

    @Test
    void validConfigurationIsConfirmed() throws Exception {
        expect(
                Deployment.start(config(GatewayMessages.config(1, 2, 3, 4)), "check"),
                0,
                "the configuration of n1 is good");
    }

    @Test
    void checkReportsAnInvalidOperation() throws Exception {
        expectInvalid(
                Deployment.start(
                        config(
                                GatewayMessages.config(1, 2, 3, 4)
                                        .replace("\"effect\":\"pure\",", "")),
                        "check"),
                "effect");
    }

    @Test
    void recordsServiceIsRequiredOnlyIfAnOperationMakesCalls() throws Exception {
        String without = GatewayMessages.config(1, 2, 3, 4).replace("\"records\":", "\"x\":");
        expect(
                Deployment.start(config(without.replace("[true,true]", "[false,false]")), "check"),
                0,
                "the configuration of n1 is good");
        expectInvalid(
                Deployment.start(config(without.replace("[true,true]", "[false,true]")), "check"),
                "records");
    }

    @Test
    void missingOrUnreadableConfigurationIsReported() throws Exception {
        expectInvalid(Deployment.start(null, "serve"), "EDGE_CONFIG");
        expectInvalid(Deployment.start(folder.resolve("none"), "serve"), "cannot read");
        expectInvalid(Deployment.start(config("{\"name\":"), "serve"), "not JSON");
        expectInvalid(Deployment.start(config("[]"), "serve"), " is not a JSON object");
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
    void missingOrInvalidSettingIsNamed(String name) throws Exception {
        String validConfig = GatewayMessages.config(1, 2, 3, 4);
        expectInvalid(
                Deployment.start(
                        config(validConfig.replace("\"" + name + "\":", "\"x\":")), "serve"),
                name);
        String invalid =
                validConfig.replaceFirst(
                        "\"" + name + "\":(\"[^\"]*\"|[^,{}]*)", "\"" + name + "\":\"%\"");
        if (!name.equals("name") && !name.equals("settings")) {
            expectInvalid(Deployment.start(config(invalid), "check"), name);
        }
    }

    @Test
    void addressInUseExitsWithOne() throws Exception {
        try (Deployment deployment = new Deployment()) {
            Path config = config(GatewayMessages.config(deployment.port, 2, 3, 4));
            expect(Deployment.start(config, "serve"), 1, "ochretiller: ", "in use");
        }
    }

    /**
     * Creates a named pipe to use as the configuration file. The program blocks in reading it until
     * the test writes the configuration, so a test can act at this point of the start.
     */
    private Path pipe() throws Exception {
        Path pipe = folder.resolve("pipe");
        assertThat(new ProcessBuilder("mkfifo", pipe.toString()).start().waitFor()).isZero();
        return pipe;
    }

    private static Process startWithoutScript(Path config) throws IOException {
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
    void hangupDuringTheStartReloadsTheConfiguration() throws Exception {
        Path pipe = pipe();
        int port = Deployment.freePort();
        Process process = startWithoutScript(pipe);
        try (BufferedReader log = process.inputReader()) {
            try (Writer first = Files.newBufferedWriter(pipe)) { // opens when the program reads
                // The reload, before or after the server listens, reads a regular file.
                Path next =
                        Files.writeString(
                                folder.resolve("next"), GatewayMessages.config(port, 2, 3, 5));
                Files.move(next, pipe, StandardCopyOption.REPLACE_EXISTING);
                signal(process, "HUP");
                first.write(GatewayMessages.config(port, 2, 3, 4));
            }
            List<String> lines = new ArrayList<>();
            while (lines.stream().noneMatch(line -> line.contains("configuration reloaded"))) {
                lines.add(log.readLine());
            }
            signal(process, "TERM");
            assertThat(process.waitFor(10, TimeUnit.SECONDS)).isTrue();
            assertThat(process.exitValue()).isZero();
        } finally {
            process.destroyForcibly();
        }
    }

    @Test
    void terminationDuringTheStartEndsTheProgramWithoutListening() throws Exception {
        Path pipe = pipe();
        Process process = startWithoutScript(pipe);
        try (Writer first = Files.newBufferedWriter(pipe)) {
            signal(process, "TERM");
            signal(process, "HUP");
            outputOf(process, 0);
            first.flush(); // the program has exited although no configuration was written
        }
    }

    @Test
    void failedStartKeepsItsExitCodeDespiteShutdownHooks() throws Exception {
        expectInvalid(startWithoutScript(config("{}")), "settings");
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "\"memory_mb\":192|\"memory_mb\" : 96|96",
                "\"memory_mb\":192|\"memory_mb\":\t144 |144"
            })
    void scriptSizesTheHeapWithoutStartingAnotherProcess(String from, String to, int mb)
            throws Exception {
        Path config = config(GatewayMessages.config(1, 2, 3, 4).replace(from, to));
        // PATH contains only java, so the start fails if the script runs any other program.
        Path bin = Files.createDirectory(folder.resolve("bin" + mb));
        Files.writeString(bin.resolve("java"), "#!/bin/sh\necho \"$@\"\n");
        assertThat(bin.resolve("java").toFile().setExecutable(true)).isTrue();
        ProcessBuilder builder =
                new ProcessBuilder("/bin/sh", "deploy/serve.sh").redirectErrorStream(true);
        builder.environment().put("EDGE_CONFIG", config.toString());
        builder.environment().put("PATH", bin.toString());
        expect(builder.start(), 0, "-Xmx" + (mb - 32) / 2 + "m ", "-Dochretiller.sizedForMb=" + mb);
    }

    @Test
    void memorySizeThatTheScriptMisreadsIsReported() throws Exception {
        String validConfig = GatewayMessages.config(1, 2, 3, 4);
        expectInvalid(
                Deployment.start(
                        config(validConfig.replace("\"memory_mb\":192", "\"memory_mb\":\n192")),
                        "serve"),
                "memory_mb");
    }
}
