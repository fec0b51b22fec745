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
 * A packaged server's part in a fleet and its door for operators. Several servers and faults
 * between them are the drills'.
 */
class FleetIT {
    @TempDir private Path folder;

    private Path operator(int port, String key) throws IOException {
        Path file = Files.writeString(folder.resolve("key-" + key.hashCode()), key);
        return Files.writeString(
                folder.resolve("operator-" + key.hashCode() + ".json5"),
                "{ fleet: { name: 'parts', listen: '127.0.0.1:"
                        + port
                        + "', key_file: '"
                        + file
                        + "', zone: 'a' } }");
    }

    private static String said(int code, String... words) throws Exception {
        Process process = Deployment.start(null, words);
        assertThat(process.waitFor(30, TimeUnit.SECONDS)).as("it ends").isTrue();
        String said = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        assertThat(process.exitValue()).as(said).isEqualTo(code);
        return said;
    }

    @Test
    void operatorsAskAndFloodsHarmNobody() throws Exception {
        int port = Deployment.freePort();
        Path operator = operator(port, "a key that is long enough");
        try (Deployment server = new Deployment(operator, deployment -> {})) {
            Deployment.await(server.log, "takes part in fleet parts");
            Deployment.await(server.log, "joined, with 0 others");
            try (DatagramSocket socket = new DatagramSocket();
                    Socket door = new Socket(InetAddress.getLoopbackAddress(), port)) {
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
                door.getOutputStream()
                        .write("GET / HTTP/1.1\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
                assertThat(door.getInputStream().read()).as("closed").isNegative();
            }
            Deployment.await(server.log, "connection fleet .* ended: BAD_INPUT");
            assertThat(said(0, "fleet", "view", "--operator", operator.toString()))
                    .contains("n1", "HERE", "{HERE=1}", "refused packets");
            assertThat(said(0, "fleet", "ping", "--operator", operator.toString(), "--json"))
                    .contains("\"name\":\"n1\"", "p50_us");
            assertThat(
                            said(
                                    2,
                                    "fleet",
                                    "view",
                                    "--operator",
                                    operator(port, "a key of somebody else's").toString()))
                    .contains("not sealed with this key");
            assertThat(said(0, "fleet", "leave", "--operator", operator.toString()))
                    .contains("n1 is gone");
            assertThat(server.exit()).isZero();
        }
    }

    @Test
    void whatIsWrongWithAFleetIsToldAtTheStart() throws Exception {
        Path operator = operator(Deployment.freePort(), "short");
        assertThat(said(2, "check", "--operator", operator.toString()))
                .contains("a key of under 16 bytes")
                .doesNotContain("short");
        assertThat(
                        said(
                                1,
                                "fleet",
                                "view",
                                "--operator",
                                operator(Deployment.freePort(), "a key that is long enough")
                                        .toString()))
                .contains("cannot ask");
    }
}
