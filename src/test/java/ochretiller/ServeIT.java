package ochretiller;

import static ochretiller.Deployment.await;
import static ochretiller.fakes.GatewayMessages.message;
import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import ochretiller.fakes.FakeConnection;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests the packaged program over sockets, with a test gateway and fakes of the processor, the
 * records service and the registry.
 */
class ServeIT {
    private static final String TOKEN = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211";
    private Deployment deployment;
    private FakeConnection gateway;
    private int lastRid;

    @BeforeEach
    void start() throws Exception {
        deployment = new Deployment();
        await(deployment.received, "usage fence");
        gateway = deployment.connect();
    }

    @AfterEach
    void stop() throws Exception {
        if (gateway != null) {
            gateway.close();
        }
        deployment.close();
    }

    private String rid() {
        return rid(++lastRid);
    }

    private static String rid(int number) {
        return String.format("%016x", number);
    }

    private static String base64(String text) {
        return Base64.getEncoder().encodeToString(text.getBytes());
    }

    private String params(String body, String extraMembers) {
        return "{\"rid\":\""
                + rid()
                + "\",\"t0\":"
                + System.currentTimeMillis()
                + ",\"peer\":4,\"mem\":24.5,\"prio\":0.5,"
                + extraMembers
                + "\"data\":\""
                + base64(body)
                + "\"}";
    }

    private String read(long id, String body) {
        return message(id, "read", params(body, ""));
    }

    private String order(long id, String body) {
        return message(id, "order", params(body, "\"token\":\"" + TOKEN + "\","));
    }

    private void expectResult(long id, String result) throws IOException {
        assertThat(gateway.readLine())
                .startsWith(
                        "{\"jsonrpc\":\"2.0\",\"id\":"
                                + id
                                + ",\"result\":{\"data\":\""
                                + base64(result)
                                + "\"");
    }

    private void expectError(long id, int code) throws IOException {
        assertThat(gateway.readLine())
                .startsWith(
                        "{\"jsonrpc\":\"2.0\",\"id\":" + id + ",\"error\":{\"code\":" + code + ",");
    }

    /** Expects that the server still answers a valid request on a new connection. */
    private void expectServerStillServes() throws IOException {
        gateway.close();
        gateway = deployment.connect();
        gateway.send(read(1, "good"));
        expectResult(1, "result of " + rid(lastRid));
    }

    /** Expects that the connection is closed without further output, and logged with the code. */
    private void expectClosed(String code) throws IOException {
        assertThat(gateway.readLine()).isNull();
        await(deployment.log, "connection gateway .* ended: " + code + "$");
    }

    @Test
    void successfulRunIsAnsweredWithItsResult() throws IOException {
        gateway.send(read(7, "good"));
        expectResult(7, "result of " + rid(1));
    }

    @Test
    void requestsAreAnsweredInTheOrderInWhichRunsEnd() throws IOException {
        gateway.send(read(1, "wait") + read(2, "good"));
        expectResult(2, "result of " + rid(2));
        deployment.services.complete(rid(1), "late");
        expectResult(1, "late");
    }

    @Test
    void failedRunIsAnsweredWithAnError() throws IOException {
        gateway.send(read(1, "bad"));
        expectError(1, -32000);
    }

    @Test
    void requestThatArrivesLateIsThrottledWithoutARun() throws IOException {
        gateway.send(
                read(1, "good")
                        .replaceFirst(
                                "\"t0\":\\d+", "\"t0\":" + (System.currentTimeMillis() - 3_000)));
        assertThat(gateway.readLine())
                .contains("\"code\":-32014")
                .contains("\"backoff\":")
                .contains("\"final\":1");
        assertThat(deployment.received).noneMatch(line -> line.startsWith("begin"));
    }

    @Test
    void retryIsAnsweredWithTheResultOfTheFirstRun() throws IOException {
        gateway.send(order(1, "good"));
        expectResult(1, "result of " + rid(1));
        gateway.send(order(2, "good"));
        expectResult(2, "result of " + rid(1));
        assertThat(deployment.received).filteredOn(line -> line.startsWith("begin")).hasSize(1);
    }

    @Test
    void retryReadTogetherWithTheOriginalWaitsForItsRun() throws IOException {
        gateway.send(order(1, "wait") + order(2, "wait"));
        await(deployment.received, "begin " + rid(1));
        deployment.services.complete(rid(1), "one");
        expectResult(1, "one");
        expectResult(2, "one");
        assertThat(deployment.received).noneMatch(line -> line.startsWith("begin"));
    }

    @Test
    void retryOfAFailedRunIsAnsweredWithAnErrorAndNeverRuns() throws IOException {
        gateway.send(order(1, "bad"));
        expectError(1, -32000);
        gateway.send(order(2, "bad"));
        expectError(2, -32000);
    }

    @Test
    void abortedRequestIsNotAnsweredAndItsIdempotentRunIsCancelled() throws IOException {
        gateway.send(read(1, "wait"));
        await(deployment.received, "begin " + rid(1));
        gateway.send("{\"jsonrpc\":\"2.0\",\"method\":\"abort\",\"params\":{\"id\":1}}\n");
        await(deployment.received, "interrupt " + rid(1));
        deployment.services.sendNotice("complete", rid(1) + " cancelled 5 0\r\n\r\n");
        gateway.send(read(2, "good"));
        expectResult(2, "result of " + rid(2));
    }

    @Test
    void resetConnectionCancelsTheRunsOfItsRequests() throws IOException {
        gateway.send(read(1, "wait"));
        await(deployment.received, "begin " + rid(1));
        gateway.reset();
        await(deployment.received, "interrupt " + rid(1));
        await(deployment.log, "connection gateway .* ended: BROKEN");
        expectServerStillServes();
    }

    @Test
    void openRequestOnAHalfClosedConnectionIsAnswered() throws IOException {
        gateway.send(read(1, "wait"));
        await(deployment.received, "begin " + rid(1));
        gateway.halfClose();
        deployment.services.complete(rid(1), "owed");
        expectResult(1, "owed");
        expectClosed("PEER_CLOSED");
    }

    @Test
    void replyToACallIsSentToTheRun() throws IOException {
        gateway.send(read(1, "call DONE"));
        expectResult(1, "after reply");
        assertThat(await(deployment.received, "^OP")).matches("OP " + rid(1) + " \\d+ 9");
    }

    @ParameterizedTest
    @ValueSource(strings = {"ERROR", "PAST", "cut"})
    void callThatMayHaveRunIsNotRetried(String ending) throws IOException {
        gateway.send(read(1, "call " + ending));
        expectError(1, -32000);
        await(deployment.received, "^OP");
        assertThat(deployment.received).noneMatch(line -> line.startsWith("OP"));
    }

    @ParameterizedTest
    @ValueSource(strings = {"WAIT", "EMPTY"})
    void callThatNeverRanIsRetried(String ending) throws IOException {
        gateway.send(read(1, "call " + ending));
        await(deployment.received, "^OP");
        await(deployment.received, "^OP");
    }

    @Test
    void timedOutCallIsCancelledAtTheRecordsService() throws IOException {
        gateway.send(read(1, "call silence"));
        await(deployment.received, "^UNOP " + rid(1));
        expectError(1, -32000);
    }

    @Test
    void callIsRetriedWhenTheRecordsServiceRefusesConnections() throws IOException {
        int port = deployment.services.recordsPort();
        deployment.services.closeRecordsService();
        gateway.send(read(1, "call DONE"));
        await(deployment.log, "connection link .* ended: REFUSED");
        deployment.services.openRecordsService(port);
        expectResult(1, "after reply");
    }

    @Test
    void endOfARunWhileDisconnectedIsReceivedAfterTheReconnect() throws IOException {
        gateway.send(order(1, "wait"));
        await(deployment.received, "begin " + rid(1));
        deployment.services.greeting =
                "hi hot 3600000\r\ncomplete 1 " + rid(1) + " complete 5 4\r\nkept\r\n";
        deployment.services.processorLink.reset();
        await(deployment.received, "hello 0");
        expectResult(1, "kept");
        assertThat(deployment.received).noneMatch(line -> line.startsWith("begin"));
    }

    @Test
    void runThatMayHaveBeenLostIsStartedAgainAfterTheReconnect() throws IOException {
        gateway.send(read(1, "wait"));
        await(deployment.received, "begin " + rid(1));
        deployment.services.processorLink.reset();
        await(deployment.received, "begin " + rid(1));
        deployment.services.complete(rid(1), "again");
        expectResult(1, "again");
    }

    @Test
    void keyedRunIsNotStartedAgainIfNoticesAreLost() throws IOException {
        gateway.send(order(1, "wait"));
        await(deployment.received, "begin " + rid(1));
        deployment.services.greeting = "hi hot 3600000\r\nremark 9 lost\r\n";
        deployment.services.processorLink.reset();
        expectError(1, -32000);
        assertThat(deployment.received).noneMatch(line -> line.startsWith("begin"));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "nonsense\r\n",
                "complete x y complete 5 0\r\n\r\n",
                "complete 1 ID complete 5 3\r\nlonger\r\n",
                "complete 1 ID complete 5 -3\r\n",
                "complete 1 ID complete 5 99999999\r\n",
                "complete 7 ID complete 5 2\r\nno\r\n",
                "remark\r\n",
                "used g1 0.1\r\n",
                "used g1 a b c d\r\n",
                "no line end\n",
                "hi hot never\r\n"
            })
    void badInputFromTheProcessorCausesAReconnectAndOneAnswer(String input) throws IOException {
        gateway.send(read(1, "wait"));
        await(deployment.received, "begin " + rid(1));
        deployment.services.processorLink.send(input.replace("ID", rid(1)));
        await(deployment.received, "begin " + rid(1));
        await(deployment.log, "connection link .* ended: BAD_INPUT");
        deployment.services.complete(rid(1), "once");
        expectResult(1, "once");
        expectServerStillServes();
    }

    @Test
    void unknownAndRepeatedNoticesAreIgnored() throws IOException {
        gateway.send(read(1, "wait"));
        await(deployment.received, "begin " + rid(1));
        deployment.services.complete(rid(99), "nobody");
        deployment.services.processorLink.send(
                "complete 1 "
                        + rid(1)
                        + " complete 5 3\r\nold\r\nreject answer "
                        + rid(1)
                        + "\r\n");
        deployment.services.complete(rid(1), "new");
        expectResult(1, "new");
    }

    @Test
    void rejectedBeginIsAnsweredWithAnErrorAndTheRetryRuns() throws IOException {
        gateway.send(order(1, "wait"));
        await(deployment.received, "begin " + rid(1));
        gateway.send(order(2, "good") + order(3, "good"));
        deployment.services.processorLink.send("reject begin " + rid(1) + "\r\n");
        expectError(1, -32000);
        expectResult(2, "result of " + rid(2));
        expectResult(3, "result of " + rid(2));
    }

    @Test
    void otherBodyWithTheSameTokenIsAnsweredWithAnErrorAndNeverRuns() throws IOException {
        gateway.send(order(1, "wait"));
        await(deployment.received, "begin " + rid(1));
        gateway.send(order(2, "good"));
        expectError(2, -32000);
        deployment.services.complete(rid(1), "mine");
        expectResult(1, "mine");
        gateway.send(order(3, "good") + order(4, "wait"));
        expectError(3, -32000);
        expectResult(4, "mine");
        assertThat(deployment.received).noneMatch(line -> line.startsWith("begin"));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "nonsense",
                "0000000000000001 DONE -1",
                "0000000000000001 DONE x",
                "0000000000000001 HM"
            })
    void badInputFromTheRecordsServiceEndsTheCallOnce(String reply) throws IOException {
        gateway.send(read(1, "call silence"));
        await(deployment.received, "^OP");
        deployment.services.recordsConnection.send(reply + "\r\n");
        expectError(1, -32000);
        await(deployment.log, "connection link .* ended: BAD_INPUT");
        gateway.send(read(2, "call DONE"));
        expectResult(2, "after reply");
    }

    @Test
    void healthCheckReportsAHealthyServer() throws IOException {
        gateway.send(message(1, "ping", "{\"full\":true}"));
        assertThat(gateway.readLine())
                .startsWith("{\"jsonrpc\":\"2.0\",\"id\":1,\"result\":{\"green\":true");
    }

    @Test
    void drainAnswersAllRequestsAndExits() throws Exception {
        gateway.send(read(1, "wait"));
        await(deployment.received, "begin " + rid(1));
        deployment.terminate();
        await(deployment.reports, "HERE n1 off");
        deployment.terminate();
        gateway.send(message(2, "ping", "{}"));
        assertThat(gateway.readLine()).contains("\"green\":false");
        deployment.services.complete(rid(1), "late");
        expectResult(1, "late");
        String answer = "\"result\"";
        for (int id = 3; answer.contains("\"result\""); id++) {
            gateway.send(read(id, "good")); // until the grace period ends
            answer = gateway.readLine();
        }
        assertThat(answer)
                .contains("\"code\":-32014")
                .contains("\"backoff\":1000")
                .doesNotContain("final");
        deployment.connect().close(); // the server still listens, to send clients elsewhere
        assertThat(gateway.readLine()).isEqualTo("{\"jsonrpc\":\"2.0\",\"method\":\"shutdown\"}");
        assertThat(deployment.awaitExit()).isZero();
        await(deployment.log, "connection gateway .* ended: LEAVING");
    }

    @Test
    void drainAnswersPendingRequestsBeforeTheShutdownTimeout() throws Exception {
        gateway.send(read(1, "wait"));
        await(deployment.received, "begin " + rid(1));
        deployment.terminate();
        assertThat(gateway.readLine()).contains("\"shutdown\"");
        expectError(1, -32000);
        assertThat(deployment.awaitExit()).isZero();
    }

    @Test
    void pauseOfTheProcessNeitherLosesNorRepeatsAnAnswer() throws Exception {
        gateway.send(read(1, "wait"));
        await(deployment.received, "begin " + rid(1));
        deployment.signal("STOP");
        deployment.services.complete(rid(1), "once");
        gateway.send(read(2, "good"));
        Thread.sleep(500); // the length of the pause, during which timers become due
        deployment.signal("CONT");
        expectResult(1, "once");
        expectResult(2, "result of " + rid(2));
        expectServerStillServes();
    }

    @Test
    void reloadMovesAllConnectionsDuringARunAndAnInvalidConfigurationIsIgnored() throws Exception {
        gateway.send(read(1, "wait"));
        await(deployment.received, "begin " + rid(1));
        deployment.services.closeRecordsService();
        deployment.moveServices(json -> json.replace("\"n1\"", "\"n2\""));
        deployment.signal("HUP");
        await(deployment.received, "hello 0");
        await(deployment.received, "begin " + rid(1)); // may have been lost, so it is repeated
        await(deployment.log, "connection link .* ended: MOVED");
        deployment.services.complete(rid(1), "moved");
        expectResult(1, "moved");
        gateway.send(read(2, "call DONE"));
        expectResult(2, "after reply");
        deployment.reports.clear();
        await(deployment.reports, "HERE n1 on"); // a reload does not change the name
        for (String invalid : List.of("{", "{}")) {
            deployment.moveServices(json -> invalid);
            deployment.signal("HUP");
            await(deployment.log, "WARNING configuration not reloaded, keeping the current one: ");
        }
        gateway.send(read(3, "call DONE"));
        expectResult(3, "after reply");
    }

    @Test
    void malformedReplyEndsNoOtherCall() throws IOException {
        gateway.send(read(1, "call silence"));
        await(deployment.received, "^OP");
        FakeConnection firstCallConnection = deployment.services.recordsConnection;
        gateway.send(read(2, "call silence"));
        await(deployment.received, "^OP");
        deployment.services.recordsConnection.send("\u00e1\u0007 noise\r\n");
        expectError(2, -32000);
        firstCallConnection.send(
                rid(7) + " DONE 4\r\nelse\r\n" + (rid(1) + " DONE 4\r\nmine\r\n").repeat(2));
        expectResult(1, "after mine");
        gateway.send(read(3, "call DONE"));
        expectResult(3, "after reply");
    }

    @Test
    void reportsPeriodicallyToTheRegistry() {
        await(deployment.reports, "HERE n1 on");
        await(deployment.reports, "HERE n1 on");
    }

    /** Expects the shutdown message, followed by the close of the connection. */
    private static void expectShutdown(FakeConnection client) throws IOException {
        assertThat(client.readLine()).isEqualTo("{\"jsonrpc\":\"2.0\",\"method\":\"shutdown\"}");
        assertThat(client.readLine()).isNull();
    }

    @Test
    void silentConnectionIsClosedBeforeAnIdleOne() throws IOException {
        FakeConnection other = deployment.connect();
        other.send(message(1, "ping", "{}"));
        gateway.send(read(1, "good").substring(0, 40));
        expectShutdown(gateway);
        await(deployment.log, "connection gateway .* ended: SILENT$");
        assertThat(other.readLine()).contains("\"green\":true");
        expectShutdown(other);
        // The idle timeout is 2 s.
        await(deployment.log, "connection gateway .* ended: IDLE");
    }

    @Test
    void requestInTransitOnAnIdleConnectionIsAnswered() throws IOException {
        gateway.send(message(1, "ping", "{}"));
        assertThat(gateway.readLine()).contains("\"green\":true");
        assertThat(gateway.readLine()).contains("\"shutdown\"");
        gateway.send(read(2, "good"));
        expectResult(2, "result of " + rid(1));
        gateway.halfClose();
        expectClosed("IDLE");
    }

    @Test
    void openRequestsAndThoseBeforeUnparsableInputAreAnswered() throws IOException {
        gateway.send(read(1, "wait"));
        await(deployment.received, "begin " + rid(1));
        gateway.send(read(2, "good") + "not JSON\n" + read(3, "good") + "x".repeat(5_000));
        expectResult(2, "result of " + rid(2));
        deployment.services.complete(rid(1), "owed");
        expectResult(1, "owed");
        expectClosed("BAD_INPUT");
        assertThat(deployment.received).noneMatch(line -> line.startsWith("begin " + rid(3)));
        expectServerStillServes();
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            quoteCharacter = '`',
            value = {
                "{\"jsonrpc\":\"2.0\",\"id\":5,\"method\":\"read\",\"params\":{]|-32700",
                "{\"jsonrpc\":\"2.0\",\"id\":5,\"method\":\"read\",\"params\":{\"data\":\"\\x\"}}|-32700",
                "{\"jsonrpc\":\"1.0\",\"id\":5,\"method\":\"read\"}|-32600",
                "{\"id\":5,\"method\":\"read\"}|-32600",
                "{\"jsonrpc\":\"2.0\",\"id\":5}|-32600",
                "{\"jsonrpc\":\"2.0\",\"id\":5,\"method\":7}|-32600",
                "{\"jsonrpc\":\"2.0\",\"id\":5,\"method\":\"unknown\",\"params\":{}}|-32601",
                "{\"jsonrpc\":\"2.0\",\"id\":5,\"method\":\"read\",\"params\":[1]}|-32602",
                "{\"jsonrpc\":\"2.0\",\"id\":5,\"method\":\"read\"}|-32602",
                "{\"jsonrpc\":\"2.0\",\"id\":5,\"method\":\"ping\",\"params\":{\"full\":\"yes\"}}|-32602",
                "{\"jsonrpc\":\"2.0\",\"id\":5,\"method\":\"read\",\"params\":{\"more\":1e999}}|-32602"
            })
    void invalidMessageWithAnIdIsAnsweredWithTheStandardError(String input, int code)
            throws IOException {
        gateway.send(input + "\n");
        expectError(5, code);
        gateway.send(read(6, "good")); // the connection stays open
        expectResult(6, "result of " + rid(1));
    }

    @ParameterizedTest
    @CsvSource({
        "rid,\"xyz\"",
        "rid,7",
        "t0,\"1\"",
        "t0,-1",
        "t0,1.5",
        "peer,-1",
        "peer,null",
        "mem,0",
        "mem,2000",
        "mem,NaN",
        "prio,1",
        "prio,-0.1",
        "prio,1e400",
        "data,\"%%%\"",
        "data,[]",
        "obj,\"7f\"",
        "token,\"7f\""
    })
    void invalidParameterIsNamed(String name, String value) throws IOException {
        String valid = params("good", "\"token\":\"" + TOKEN + "\",\"obj\":\"7f3a9c21e0b4d655\",");
        gateway.send(
                message(
                        5,
                        "order",
                        valid.replaceFirst(
                                "\"" + name + "\":(\"[^\"]*\"|[^,}]*)",
                                "\"" + name + "\":" + value)));
        assertThat(gateway.readLine())
                .startsWith("{\"jsonrpc\":\"2.0\",\"id\":5,\"error\":{\"code\":-32")
                .contains(value.equals("NaN") ? "-32700" : "missing or wrong: " + name);
        expectServerStillServes();
    }

    @Test
    void bodyOverTheLimitAndMissingTokenAreInvalid() throws IOException {
        gateway.send(read(1, "x".repeat(2049)));
        expectError(1, -32602);
        gateway.send(message(2, "order", params("good", "")));
        expectError(2, -32602);
        gateway.send(read(3, "x".repeat(2048).replaceFirst("x{5}", "good ")));
        await(deployment.received, "begin " + rid(3) + " read 2048");
    }

    @Test
    void idsInUseAndTooManyOpenRequestsAreRejected() throws IOException {
        String first = order(1, "wait");
        gateway.send(first);
        gateway.send(order(1, "wait"));
        expectError(1, -32600);
        gateway.send(first.replace("\"id\":1,", "\"id\":2,"));
        expectError(2, -32602);
        for (int id = 3; id <= 34; id++) {
            gateway.send(order(id, "wait")); // all wait for the run of the first
        }
        expectError(34, -32600);
    }

    @Test
    void inputLargerThanTheReadBufferIsAnsweredCompletely() throws IOException {
        String request = message(1, "ping", "{}");
        gateway.send(request.repeat(1_000));
        for (int i = 0; i < 1_000; i++) {
            assertThat(gateway.readLine()).contains("\"green\":true");
        }
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "not JSON\n",
                "[]\n",
                "[{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"ping\"}]\n",
                "\n",
                "7\n",
                "{\"jsonrpc\":\"2.0\",\"method\":\"read\",\"params\":{}}\n",
                "{\"jsonrpc\":\"2.0\",\"method\":\"ping\"}\n",
                "{\"jsonrpc\":\"2.0\",\"id\":\"x\",\"method\":\"ping\"}\n",
                "{\"jsonrpc\":\"2.0\",\"id\":1.5,\"method\":\"ping\"}\n",
                "{\"\u00ff\u00fe\":1}\n",
                "{\"jsonrpc\":\"2.0\",\"method\":\"abort\"}\n"
            })
    void inputWithoutAnIdClosesTheConnection(String input) throws IOException {
        gateway.send(input);
        expectClosed("BAD_INPUT");
        expectServerStillServes();
    }

    @Test
    void tooLongLineAndDeepNestingCloseTheConnection() throws IOException {
        gateway.send("x".repeat(9000));
        expectClosed("BAD_INPUT");
        gateway = deployment.connect();
        gateway.send("[".repeat(5000) + "\n");
        expectClosed("BAD_INPUT");
        expectServerStillServes();
    }

    @Test
    void messageSentByteByByteAndAbortsOfUnknownRequestsAreHandled() throws IOException {
        gateway.send("{\"jsonrpc\":\"2.0\",\"method\":\"abort\",\"params\":{\"id\":77}}\n");
        for (byte b : read(1, "good").getBytes()) {
            gateway.send(new byte[] {b});
        }
        expectResult(1, "result of " + rid(1));
        gateway.send("{\"jsonrpc\":\"2.0\",\"method\":\"abort\",\"params\":{\"id\":1}}\n");
        gateway.send(message(2, "abort", "{\"rid\":\"" + rid(1) + "\"}"));
        assertThat(gateway.readLine()).isEqualTo("{\"jsonrpc\":\"2.0\",\"id\":2,\"result\":{}}");
    }

    private void restartWithFewSockets() throws IOException {
        deployment.close();
        deployment = new Deployment(json -> json.replace("\"sockets\":1024", "\"sockets\":64"));
        await(deployment.received, "usage fence");
        gateway = deployment.connect();
    }

    @Test
    void silentConnectionsAreClosedBeforeActiveOnes() throws Exception {
        restartWithFewSockets();
        gateway.send(message(1, "ping", "{}"));
        assertThat(gateway.readLine()).contains("\"green\":true");
        List<FakeConnection> silent = new ArrayList<>();
        for (int i = 0; i < 80; i++) {
            silent.add(deployment.connect());
            if (i < 8) {
                continue;
            }
            // Each connection beyond the eighth closes the oldest, in a flood without a message.
            String line = silent.get(i - 8).readLine();
            if (line != null) {
                assertThat(line).contains("\"shutdown\"");
            }
        }
        for (int i = 0; i < 72; i++) {
            assertThat(silent.get(i).readLine()).isNull();
        }
        gateway.send(read(2, "good"));
        expectResult(2, "result of " + rid(1));
        for (FakeConnection client : silent) {
            client.close();
        }
        expectServerStillServes();
    }

    @Test
    void longestIdleConnectionIsClosedAtTheConnectionLimit() throws Exception {
        restartWithFewSockets();
        gateway.send(message(1, "ping", "{}"));
        assertThat(gateway.readLine()).contains("\"green\":true");
        for (int i = 0; i < 32; i++) {
            FakeConnection client = deployment.connect();
            client.send(message(1, "ping", "{}"));
            assertThat(client.readLine()).contains("\"green\":true");
        }
        expectShutdown(gateway);
        await(deployment.log, "connection gateway .* ended: TOO_MANY$");
    }

    @Test
    void healthChecksAreAnsweredAndInvocationsThrottledAboveTheConnectionLimit() throws Exception {
        restartWithFewSockets();
        gateway.close();
        List<FakeConnection> clients = new ArrayList<>();
        for (int i = 0; i < 32; i++) {
            FakeConnection busy = deployment.connect();
            busy.send(message(1, "ping", "{}") + order(2, "wait")); // wait for the first run
            assertThat(busy.readLine()).contains("\"green\":true");
            clients.add(busy);
        }
        for (String request : List.of(message(1, "ping", "{}"), read(1, "good"))) {
            gateway = deployment.connect();
            gateway.send(request);
            assertThat(gateway.readLine())
                    .contains(request.contains("ping") ? "\"green\":true" : "\"code\":-32014");
            expectClosed("TOO_MANY");
        }
        for (int i = 0; i < 9; i++) {
            clients.add(deployment.connect());
        }
        assertThat(clients.get(40).readLine()).isNull();
        for (FakeConnection client : clients) {
            client.close();
        }
    }

    @Test
    void peerThatDoesNotReadIsClosed() throws IOException {
        String request = message(1, "ping", "{}").replace("\n", " ".repeat(100) + "\n").repeat(500);
        assertThat(gateway.sendUntilClosed(request, 4000)).isTrue();
        await(deployment.log, "connection gateway .* ended: (NOT_READING|FLOOD)");
        gateway = deployment.connect();
        expectServerStillServes();
    }
}
