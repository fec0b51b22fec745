package ochretiller;

import static ochretiller.Fixture.Deployment.await;
import static org.assertj.core.api.Assertions.assertThat;

import java.util.Base64;
import ochretiller.Fixture.Deployment;
import ochretiller.Fixture.Wire;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** The packaged program over sockets, as a gateway, a processor and a records service see it. */
class ServeIT {
    private static final String TOKEN = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211";
    private Deployment deployment;
    private Wire gateway;
    private int rids;

    @BeforeEach
    void start() throws Exception {
        deployment = new Deployment();
        await(deployment.heard, "hello 0");
        await(deployment.log, "processor is up");
        gateway = deployment.dial();
    }

    @AfterEach
    void stop() throws Exception {
        gateway.close();
        deployment.close();
    }

    private String rid() {
        return String.format("%016x", ++rids);
    }

    private String params(String rid, String body, String more) {
        return "{\"rid\":\"" + rid + "\",\"t0\":" + System.currentTimeMillis() + ",\"peer\":4,\"mem\":24.5,\"prio\":0.5,"
            + more + "\"data\":\"" + base64(body) + "\"}";
    }

    private static String base64(String text) {
        return Base64.getEncoder().encodeToString(text.getBytes());
    }

    private static String message(long id, String method, String params) {
        return "{\"jsonrpc\":\"2.0\",\"id\":" + id + ",\"method\":\"" + method + "\",\"params\":" + params + "}\n";
    }

    private String read(long id, String body) {
        return message(id, "read", params(rid(), body, ""));
    }

    private String order(long id, String body) {
        return message(id, "order", params(rid(), body, "\"token\":\"" + TOKEN + "\","));
    }

    private void expectResult(Wire from, long id, String result) throws Exception {
        assertThat(from.line()).startsWith("{\"jsonrpc\":\"2.0\",\"id\":" + id + ",\"result\":{\"data\":\"" + base64(result));
    }

    private void expectError(long id, int code) throws Exception {
        assertThat(gateway.line()).startsWith("{\"jsonrpc\":\"2.0\",\"id\":" + id + ",\"error\":{\"code\":" + code + ",");
    }

    private void expectServes() throws Exception {
        try (Wire fresh = deployment.dial()) {
            String request = read(1, "good");
            fresh.send(request);
            assertThat(fresh.line()).contains("\"result\":{\"data\":");
        }
    }

    @Test
    void succeedsWithTheBytesOfTheRun() throws Exception {
        gateway.send(read(1, "good"));
        expectResult(gateway, 1, "result of " + "0000000000000001");
    }

    @Test
    void drainAnswersAllAndEnds() throws Exception {
        gateway.send(read(1, "wait"));
        await(deployment.heard, "begin 0000000000000001 read 4");
        deployment.terminate();
        await(deployment.reports, "HERE n1 off");
        deployment.complete("0000000000000001", "late");
        expectResult(gateway, 1, "late");
        assertThat(gateway.line()).isEqualTo("{\"jsonrpc\":\"2.0\",\"method\":\"shutdown\"}");
        assertThat(deployment.exit()).isZero();
        await(deployment.log, "ended: LEAVING");
    }
}
