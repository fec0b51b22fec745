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

/** Pins the members of the JSON that the fleet and copies commands print of a running server. */
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

    private static CommandResult run(String command, String subCommand, String... options) {
        String[] arguments = new String[5 + options.length];
        arguments[0] = command;
        arguments[1] = subCommand;
        arguments[2] = "--operator";
        arguments[3] = server.operator.toString();
        arguments[4] = "--json";
        System.arraycopy(options, 0, arguments, 5, options.length);
        return CommandResult.run(arguments);
    }

    private static JsonNode json(String command, String subCommand, String... options)
            throws Exception {
        CommandResult cli = run(command, subCommand, options);
        assertThat(cli.exitCode()).as(cli.output()).isZero();
        return cli.json();
    }

    @Test
    void viewPrintsAllMembers() throws Exception {
        try (DatagramSocket socket = new DatagramSocket()) {
            byte[] bytes = new byte[100];
            socket.send(
                    new DatagramPacket(
                            bytes,
                            bytes.length,
                            InetAddress.getLoopbackAddress(),
                            server.fleetPort));
        }
        WholeServer.await(() -> json("fleet", "view").get("refused").size() > 0);
        WholeServer.await(() -> state(json("fleet", "view")).equals("HERE"));
        JsonNode view = json("fleet", "view");
        assertThat(CommandResult.memberNames(view))
                .containsExactly(
                        "fleet",
                        "digest",
                        "doubt",
                        "news",
                        "sent_bytes",
                        "read_bytes",
                        "refused",
                        "members");
        assertThat(CommandResult.memberNames(view.get("refused"))).containsExactly("not_ours");
        assertThat(CommandResult.memberNames(view.get("members").get(0)))
                .containsExactly(
                        "name", "start", "state", "address", "zone", "build", "serves", "number",
                        "for_ms", "self");
        assertThat(state(view)).isEqualTo("HERE");
    }

    private static String state(JsonNode view) {
        return view.get("members").get(0).get("state").asText();
    }

    @Test
    void pingPrintsAllMembers() throws Exception {
        assertThat(CommandResult.memberNames(json("fleet", "ping")))
                .containsExactly("name", "times", "least_us", "p50_us", "most_us");
    }

    @Test
    void versionsPrintsAllMembers() throws Exception {
        WholeServer.await(() -> json("fleet", "versions").get("servers").has("n1"));
        JsonNode versions = json("fleet", "versions");
        assertThat(CommandResult.memberNames(versions))
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
        assertThat(CommandResult.memberNames(versions.get("servers").get("n1")))
                .containsExactly("acts", "read", "refused", "out");
    }

    @Test
    void rejectedRolloutStepsNameTheRolloutState() {
        for (String step : new String[] {"pause", "go-on", "take-back"}) {
            CommandResult cli = run("fleet", step);
            assertThat(cli.exitCode()).isEqualTo(1);
            assertThat(cli.output())
                    .isEqualTo(
                            "{\"refused\":\"there is nothing to "
                                    + step
                                    + ": DONE at version 0\"}\n");
        }
    }

    @Test
    void copiesStatusPrintsAllMembers() throws Exception {
        JsonNode status = json("copies", "status");
        assertThat(CommandResult.memberNames(status))
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
    void copiesDiffPrintsAllMembers() throws Exception {
        JsonNode difference = json("copies", "diff", "--with", "127.0.0.1:" + server.fleetPort);
        assertThat(CommandResult.memberNames(difference))
                .containsExactly(
                        "here", "there", "epoch_here", "epoch_there", "ranges", "differ", "tokens");
    }

    @Test
    void copiesRepairPrintsAllMembers() throws Exception {
        assertThat(CommandResult.memberNames(json("copies", "repair")))
                .containsExactly("name", "compares", "fetched");
    }
}
