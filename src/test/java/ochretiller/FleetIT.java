package ochretiller;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Integration test of one packaged server in a fleet and of its admin commands. The drills test
 * several servers and faults between them.
 */
class FleetIT {
    @TempDir private Path folder;

    private Path writeOperatorConfig(int port, String key) throws IOException {
        Path file = Files.writeString(folder.resolve("key-" + key.hashCode()), key);
        return Files.writeString(
                folder.resolve("operator-" + key.hashCode() + ".json5"),
                "{ fleet: { name: 'parts', listen: '127.0.0.1:"
                        + port
                        + "', key_file: '"
                        + file
                        + "', zone: 'a' } }");
    }

    private static String runCommand(int expectedExitCode, String... arguments) throws Exception {
        Process process = Deployment.start(null, arguments);
        assertThat(process.waitFor(30, TimeUnit.SECONDS)).as("process exits").isTrue();
        String output = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        assertThat(process.exitValue()).as(output).isEqualTo(expectedExitCode);
        return output;
    }

    @Test
    void adminCommandsSucceedAndInvalidInputIsRejected() throws Exception {
        int port = Deployment.freePort();
        Path operatorConfig = writeOperatorConfig(port, "a key that is long enough");
        try (Deployment server = new Deployment(operatorConfig, deployment -> {})) {
            Deployment.await(server.log, "takes part in fleet parts");
            Deployment.await(server.log, "joined, with 0 others");
            try (DatagramSocket socket = new DatagramSocket();
                    Socket adminConnection = new Socket(InetAddress.getLoopbackAddress(), port)) {
                for (int i = 0; i < 200; i++) {
                    byte[] bytes =
                            ("OF"
                                            + (char) 1
                                            + (char) 1
                                            + "garbage "
                                            + i
                                            + " that is as long as an envelope is")
                                    .getBytes(StandardCharsets.ISO_8859_1);
                    socket.send(
                            new DatagramPacket(
                                    bytes, bytes.length, InetAddress.getLoopbackAddress(), port));
                }
                adminConnection
                        .getOutputStream()
                        .write("GET / HTTP/1.1\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
                assertThat(adminConnection.getInputStream().read())
                        .as("connection is closed")
                        .isNegative();
            }
            Deployment.await(server.log, "connection fleet .* ended: BAD_INPUT");
            assertThat(runCommand(0, "fleet", "view", "--operator", operatorConfig.toString()))
                    .contains("n1", "HERE", "{HERE=1}", "refused packets");
            assertThat(
                            runCommand(
                                    0,
                                    "fleet",
                                    "ping",
                                    "--operator",
                                    operatorConfig.toString(),
                                    "--json"))
                    .contains("\"name\":\"n1\"", "p50_us");
            assertThat(
                            runCommand(
                                    2,
                                    "fleet",
                                    "view",
                                    "--operator",
                                    writeOperatorConfig(port, "a key of somebody else's")
                                            .toString()))
                    .contains("not sealed with this key");
            assertThat(runCommand(0, "fleet", "leave", "--operator", operatorConfig.toString()))
                    .contains("n1 is gone");
            assertThat(server.awaitExit()).isZero();
        }
    }

    @Test
    void configurationAndConnectionErrorsAreReported() throws Exception {
        Path operatorConfig = writeOperatorConfig(Deployment.freePort(), "short");
        assertThat(runCommand(2, "check", "--operator", operatorConfig.toString()))
                .contains("a key of under 16 bytes")
                .doesNotContain("short");
        assertThat(
                        runCommand(
                                1,
                                "fleet",
                                "view",
                                "--operator",
                                writeOperatorConfig(
                                                Deployment.freePort(), "a key that is long enough")
                                        .toString()))
                .contains("cannot connect to the server at");
    }
}
