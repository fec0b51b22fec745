package ochretiller.golden;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.nio.file.Path;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Members of the JSON that commands print of a server that runs, asked at its fleet's door. */
class FleetJsonTest {
    @TempDir private static Path folder;
    private static WholeServer server;

    @BeforeAll
    static void start() throws Exception {
        server = new WholeServer(folder);
    }

    @AfterAll
    static void stop() throws Exception {
        server.close();
    }

    private static Cli asked(String command, String word, String... more) {
        String[] words = new String[5 + more.length];
        words[0] = command;
        words[1] = word;
        words[2] = "--operator";
        words[3] = server.operator.toString();
        words[4] = "--json";
        System.arraycopy(more, 0, words, 5, more.length);
        return Cli.run(words);
    }

    private static JsonNode told(String command, String word, String... more) throws Exception {
        Cli cli = asked(command, word, more);
        assertThat(cli.code()).as(cli.out()).isZero();
        return cli.json();
    }

    @Test
    void viewHasItsMembers() throws Exception {
        try (DatagramSocket socket = new DatagramSocket()) {
            byte[] bytes = new byte[100];
            socket.send(
                    new DatagramPacket(
                            bytes,
                            bytes.length,
                            InetAddress.getLoopbackAddress(),
                            server.fleetPort));
        }
        WholeServer.until(() -> told("fleet", "view").get("refused").size() > 0);
        WholeServer.until(() -> state(told("fleet", "view")).equals("HERE"));
        JsonNode view = told("fleet", "view");
        assertThat(Cli.members(view))
                .containsExactly(
                        "fleet",
                        "digest",
                        "doubt",
                        "news",
                        "sent_bytes",
                        "read_bytes",
                        "refused",
                        "members");
        assertThat(Cli.members(view.get("refused"))).containsExactly("not_ours");
        assertThat(Cli.members(view.get("members").get(0)))
                .containsExactly(
                        "name", "start", "state", "address", "zone", "build", "serves", "number",
                        "for_ms", "self");
        assertThat(state(view)).isEqualTo("HERE");
    }

    private static String state(JsonNode view) {
        return view.get("members").get(0).get("state").asText();
    }

    @Test
    void pingHasItsMembers() throws Exception {
        assertThat(Cli.members(told("fleet", "ping")))
                .containsExactly("name", "times", "least_us", "p50_us", "most_us");
    }

    @Test
    void versionsHaveTheirMembers() throws Exception {
        WholeServer.until(() -> told("fleet", "versions").get("servers").has("n1"));
        JsonNode versions = told("fleet", "versions");
        assertThat(Cli.members(versions))
                .containsExactly(
                        "name",
                        "acts",
                        "hash",
                        "version",
                        "before",
                        "why",
                        "by",
                        "state",
                        "stage",
                        "halted",
                        "may",
                        "lease_left_ms",
                        "refused",
                        "servers");
        assertThat(versions.get("state").asText()).isEqualTo("DONE");
        assertThat(Cli.members(versions.get("servers").get("n1")))
                .containsExactly("acts", "read", "refused", "out");
    }

    @Test
    void refusedStepsOfARolloutNameItsState() {
        for (String word : new String[] {"pause", "go-on", "take-back"}) {
            Cli cli = asked("fleet", word);
            assertThat(cli.code()).isEqualTo(1);
            assertThat(cli.out())
                    .isEqualTo(
                            "{\"refused\":\"there is nothing to "
                                    + word
                                    + ": DONE at version 0\"}\n");
        }
    }

    @Test
    void statusOfCopiesHasItsMembers() throws Exception {
        JsonNode status = told("copies", "status");
        assertThat(Cli.members(status))
                .containsExactly(
                        "name",
                        "epoch",
                        "factor",
                        "keepers",
                        "disk",
                        "returning",
                        "entries",
                        "bytes",
                        "ranges",
                        "behind",
                        "oldest_gap_ms",
                        "hints",
                        "conflicts",
                        "fetched",
                        "fetched_bytes",
                        "sent_bytes",
                        "compares",
                        "differed",
                        "claims_under_way",
                        "claim_limit",
                        "words_waiting");
        assertThat(status.get("disk").asText()).isEqualTo("well");
    }

    @Test
    void differenceOfCopiesHasItsMembers() throws Exception {
        JsonNode difference = told("copies", "diff", "--with", "127.0.0.1:" + server.fleetPort);
        assertThat(Cli.members(difference))
                .containsExactly(
                        "here", "there", "epoch_here", "epoch_there", "ranges", "differ", "tokens");
    }

    @Test
    void repairOfCopiesHasItsMembers() throws Exception {
        assertThat(Cli.members(told("copies", "repair")))
                .containsExactly("name", "compares", "fetched");
    }
}
