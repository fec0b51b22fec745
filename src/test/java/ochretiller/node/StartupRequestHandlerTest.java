package ochretiller.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import ochretiller.frontend.RequestAttempt;
import ochretiller.idempotency.IdempotencyCache;
import ochretiller.idempotency.durable.IdempotencyRecord;
import ochretiller.idempotency.durable.InvocationProgress;
import ochretiller.net.Scheduler;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests what becomes of retries that wait for the processor at the start of a server. */
class StartupRequestHandlerTest {
    private static final String BODY = "body";

    private final List<String> events = new ArrayList<>();
    private AttemptFixture fixture;
    private StartupRequestHandler handler;

    /** A store in which a previous process has left an order that was running. */
    private static final class StoreWithRunningOrder extends VolatileIdempotency {
        StoreWithRunningOrder(Scheduler scheduler) {
            super(scheduler);
        }

        @Override
        public Optional<IdempotencyRecord> findPreviousRun(String token) {
            return Optional.of(
                    new IdempotencyRecord(
                            InvocationProgress.IN_FLIGHT,
                            token,
                            AttemptFixture.ORDER.name(),
                            "rid",
                            IdempotencyCache.bodyDigest(BODY.getBytes()),
                            0,
                            1));
        }
    }

    @BeforeEach
    void open() throws Exception {
        fixture = new AttemptFixture(events);
        handler =
                new StartupRequestHandler(
                        fixture.loop, fixture.connections, new StoreWithRunningOrder(fixture.loop));
    }

    @AfterEach
    void close() throws Exception {
        fixture.close();
    }

    private RequestAttempt readRetry() {
        RequestAttempt retry = fixture.receive(AttemptFixture.ORDER, BODY);
        handler.onRequestRead(retry);
        return retry;
    }

    // Guards against retries that are held until their deadline although their clients have left.
    @Test
    void retryIsForgottenWhenItsClientLeaves() {
        RequestAttempt left = readRetry();
        RequestAttempt waiting = readRetry();
        fixture.connections.abort(left);
        handler.onClientDisconnected(left);
        assertThat(fixture.connections.isRequestIdUsed(left.requestId)).isFalse();
        assertThat(handler.takeWaitingRetries()).containsExactly(waiting);
    }

    // Guards against a retry without an answer while the processor is not available.
    @Test
    void retryThatWaitsTooLongGetsAnError() {
        readRetry();
        fixture.loop.advanceTimers(AttemptFixture.ORDER.clientTimeout());
        assertThat(events).containsExactly("error UNKNOWN_END");
        assertThat(handler.takeWaitingRetries()).isEmpty();
    }
}
