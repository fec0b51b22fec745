package ochretiller;

import static ochretiller.Deployment.await;
import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import ochretiller.fakes.FakeConnection;
import org.junit.jupiter.api.Test;

/** Tests how the packaged program ends when a thread that it cannot do without fails. */
class FatalErrorIT {
    /** Shorter than the drain, which a server without its event loop would wait for in vain. */
    private static final Duration MAX_TIME_TO_EXIT = Duration.ofSeconds(1);

    private static Deployment start(String failingMessage, String arguments) throws Exception {
        return new Deployment(
                json -> json,
                deployment -> {},
                "exec java -XX:TieredStopAtLevel=1 -cp target/ochretiller.jar:target/test-classes "
                        + FailingServer.class.getName()
                        + " '"
                        + failingMessage
                        + "' "
                        + arguments);
    }

    private static void expectExit(Deployment deployment) throws Exception {
        long startNanos = System.nanoTime();
        int exitCode = deployment.awaitExit();
        Duration elapsed = Duration.ofNanos(System.nanoTime() - startNanos);
        assertThat(exitCode).isEqualTo(4);
        assertThat(elapsed).isLessThan(MAX_TIME_TO_EXIT);
        await(deployment.log, "SEVERE fatal error in thread .*, the process exits");
        await(deployment.log, "StackOverflowError: injected");
        await(deployment.log, "at ochretiller\\.");
    }

    /** Guards against a process that neither serves nor ends after its event loop has failed. */
    @Test
    void errorInTheEventLoopEndsTheProcessWithItsCause() throws Exception {
        try (Deployment deployment = start("processor is available", "serve")) {
            await(deployment.received, "hello");
            expectExit(deployment);
        }
    }

    /** Guards against an error that the parser of the command line catches. */
    @Test
    void errorInTheEventLoopOfACommandWithOptionsEndsTheProcessToo() throws Exception {
        try (Deployment deployment =
                start("processor is available", "serve --config \"$EDGE_CONFIG\"")) {
            await(deployment.received, "hello");
            expectExit(deployment);
        }
    }

    /** Guards against a server that no longer reads, after its I/O thread has failed. */
    @Test
    void errorOnAnIoThreadEndsTheProcessWithItsCause() throws Exception {
        try (Deployment deployment = start("bad input from", "serve")) {
            await(deployment.received, "usage fence");
            try (FakeConnection gateway = deployment.connect()) {
                gateway.send("no request\n");
                expectExit(deployment);
            }
        }
    }
}
