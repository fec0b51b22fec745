package ochretiller;

import static ochretiller.Deployment.await;
import static ochretiller.fakes.GatewayMessages.message;
import static ochretiller.fakes.GatewayMessages.params;
import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import ochretiller.fakes.FakeConnection;
import ochretiller.fakes.GatewayMessages;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * Events that cross, on the packaged program; a process that stands still while both come is what
 * makes them one moment.
 */
class RaceConditionsIT {
    private static final String TOKEN = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211";
    private static final String SHUTDOWN = "\"shutdown\"";
    private Deployment deployment;
    private FakeConnection gateway;

    private void start() throws Exception {
        deployment = new Deployment();
        await(deployment.heard, "usage fence");
        gateway = deployment.dial();
    }

    @AfterEach
    void stop() throws Exception {
        if (gateway != null) {
            gateway.close();
        }
        deployment.close();
    }

    private static String rid(int number) {
        return String.format("%016x", number);
    }

    private static String read(int id, String body) {
        return message(id, "read", params(rid(id), null, body));
    }

    private static String order(int id, String body) {
        return message(id, "order", params(rid(id), TOKEN, body));
    }

    private void expectResult(int id, String result) throws Exception {
        assertThat(gateway.line())
                .contains(
                        "\"id\":"
                                + id
                                + ",\"result\":{\"data\":\""
                                + GatewayMessages.base64(result)
                                + "\"");
    }

    private long begun(int id) {
        return deployment.heard.stream()
                .filter(line -> line.startsWith("begin " + rid(id)))
                .count();
    }

    @Test
    void tokenedRunThatEndsAsItIsAbortedAndRepeatedRunsOnceAndIsReplayed() throws Exception {
        start();
        gateway.send(order(1, "wait"));
        await(deployment.heard, "begin " + rid(1));
        deployment.signal("STOP");
        gateway.send(
                "{\"jsonrpc\":\"2.0\",\"method\":\"abort\",\"params\":{\"id\":1}}\n"
                        + order(2, "wait"));
        deployment.outside.complete(rid(1), "once");
        deployment.signal("CONT");
        String answer = gateway.line();
        // The end may be read first: then the first has its answer too.
        if (answer.contains("\"id\":1,")) {
            answer = gateway.line();
        }
        assertThat(answer)
                .contains(
                        "\"id\":2,\"result\":{\"data\":\"" + GatewayMessages.base64("once") + "\"");
        assertThat(begun(1) + begun(2)).isZero();
    }

    @Test
    void repeatOfAWaitingOneThatIsAbortedGetsItsRun() throws Exception {
        start();
        gateway.send(order(1, "wait"));
        await(deployment.heard, "begin " + rid(1));
        gateway.send(
                order(2, "wait")
                        + "{\"jsonrpc\":\"2.0\",\"method\":\"abort\",\"params\":{\"id\":1}}\n"
                        + order(3, "wait"));
        gateway.send(message(9, "ping", "{}"));
        assertThat(gateway.line()).contains("\"id\":9,"); // all before it was worked off
        deployment.outside.complete(rid(1), "once");
        expectResult(2, "once");
        expectResult(3, "once");
        assertThat(begun(2) + begun(3)).isZero();
    }

    @Test
    void linkThatIsReplacedWithANoticeInFlightTellsItOnce() throws Exception {
        start();
        gateway.send(order(1, "wait"));
        await(deployment.heard, "begin " + rid(1));
        deployment.signal("STOP");
        deployment.outside.greeting =
                "hi hot 3600000\r\ncomplete 1 " + rid(1) + " complete 5 4\r\nkept\r\n";
        deployment.outside.complete(rid(1), "kept");
        deployment.outside.link.reset();
        deployment.signal("CONT");
        expectResult(1, "kept");
        gateway.send(order(2, "wait"));
        expectResult(2, "kept");
        gateway.send(message(3, "ping", "{}"));
        assertThat(gateway.line()).contains("\"id\":3,"); // and nothing twice
        assertThat(begun(1) + begun(2)).isZero();
    }

    @Test
    void noticeToLeaveAndANewConfigurationInOneMomentLoseNothing() throws Exception {
        start();
        gateway.send(read(1, "wait"));
        await(deployment.heard, "begin " + rid(1));
        deployment.move(json -> json);
        deployment.signal("STOP");
        deployment.signal("TERM");
        deployment.signal("HUP");
        gateway.send(read(2, "good"));
        deployment.signal("CONT");
        await(deployment.heard, "begin " + rid(1)); // said again on the new link
        deployment.outside.complete(rid(1), "moved");
        Stream.of(gateway.line(), gateway.line())
                .forEach(line -> assertThat(line).contains("\"result\":"));
        assertThat(gateway.line()).contains(SHUTDOWN);
        gateway.close();
        assertThat(deployment.exit()).isZero();
    }

    @Test
    void noticeToLeaveWithoutAProcessorTurnsAwayAndRunsNothingOnceThereIsOne() throws Exception {
        deployment =
                new Deployment(
                        json -> json,
                        each -> each.outside.silent = true,
                        "exec sh deploy/serve.sh");
        await(deployment.heard, "hello 0");
        gateway = deployment.dial();
        gateway.send(read(1, "good"));
        assertThat(gateway.line()).contains("\"id\":1,").contains("-32014");
        deployment.terminate();
        await(deployment.log, "leaves$");
        deployment.outside.speak();
        await(deployment.heard, "usage fence");
        gateway.send(order(2, "good"));
        assertThat(gateway.line()).contains("\"id\":2,").contains("-32014");
        assertThat(gateway.line()).contains(SHUTDOWN);
        gateway.close();
        assertThat(deployment.exit()).isZero();
        assertThat(deployment.heard).noneMatch(line -> line.startsWith("begin"));
    }

    @Test
    void requestThatCrossesTheLastWordOfADrainIsAnsweredOrMayBeSentElsewhere() throws Exception {
        start();
        gateway.send(message(1, "ping", "{}"));
        assertThat(gateway.line()).contains("\"id\":1,");
        deployment.terminate();
        assertThat(gateway.line()).contains(SHUTDOWN);
        gateway.send(order(2, "good")); // the word crossed it
        assertThat(gateway.line()).contains("\"id\":2,").contains("-32014");
        assertThat(gateway.line()).isNull();
        assertThat(deployment.exit()).isZero();
        assertThat(deployment.heard).noneMatch(line -> line.startsWith("begin"));
    }

    @Test
    void idleClientsOnAllDescriptorsLeaveRoomForCallsFilesAndTheLink() throws Exception {
        int most = 128;
        deployment =
                new Deployment(
                        json -> json.replace("\"sockets\":1024", "\"sockets\":" + most),
                        each -> {},
                        "ulimit -n " + most + "; exec sh deploy/serve.sh");
        await(deployment.heard, "usage fence");
        gateway = deployment.dial();
        gateway.send(read(1, "good"));
        expectResult(1, "result of " + rid(1));
        List<FakeConnection> idle = new ArrayList<>();
        long held = 0;
        for (int i = 0; i < 2 * most; i++) {
            idle.add(deployment.dial());
            try (Stream<Path> files = Files.list(Path.of("/proc/" + deployment.pid() + "/fd"))) {
                held = Math.max(held, files.count());
            }
        }
        await(deployment.log, "connection gateway .* ended: TOO_MANY");
        gateway.send(read(2, "call DONE")); // a call below
        expectResult(2, "after reply");
        deployment.move(json -> json.replace("\"sockets\":1024", "\"sockets\":" + most));
        deployment.signal("HUP"); // a file and a link
        await(deployment.log, "takes the addresses");
        await(deployment.heard, "usage fence");
        gateway.send(read(3, "call DONE"));
        expectResult(3, "after reply");
        assertThat(held).isLessThanOrEqualTo(most);
        for (FakeConnection wire : idle) {
            wire.close();
        }
    }

    @Test
    void hangupIsTakenWhereWhoeverStartedTheServerIgnoresIt() throws Exception {
        deployment =
                new Deployment(json -> json, each -> {}, "trap '' HUP; exec sh deploy/serve.sh");
        await(deployment.heard, "usage fence");
        deployment.move(json -> json);
        deployment.signal("HUP");
        await(deployment.log, "takes the addresses");
        await(deployment.heard, "usage fence");
        gateway = deployment.dial();
        gateway.send(read(1, "call DONE"));
        expectResult(1, "after reply");
    }

    @Test
    void hangupThatCannotBeTakenIsSaid() throws Exception {
        deployment =
                new Deployment(
                        json -> json,
                        each -> {},
                        "trap '' HUP; exec java -jar target/ochretiller.jar serve");
        await(deployment.heard, "usage fence");
        assertThat(deployment.said)
                .anyMatch(
                        line -> line.contains("SIGHUP is ignored by whoever started this server"));
    }
}
