package ochretiller;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import java.util.concurrent.CountDownLatch;
import ochretiller.fakes.GatewayMessages;
import ochretiller.store.VolatileDirectory;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Checks a server on a disk that stalls, fills up or fails. */
class DegradedDiskTest extends InProcessServerFixture {
    private static String result(String body) {
        return "\"result\":{\"data\":\"" + GatewayMessages.base64("result of " + body) + "\"";
    }

    /** Repeats an order, at most 200 times, until it is not throttled any more. */
    private String orderUntilServed(int token, String body) throws Exception {
        String answer = order(token, body);
        for (int retries = 0; answer.contains("-32014") && retries < 200; retries++) {
            Thread.sleep(20); // a client that honors the backoff waits too
            answer = order(token, body);
        }
        return answer;
    }

    @ParameterizedTest
    @CsvSource({
        "force,Input/output error",
        "write,No space left on device",
        "write,Read-only file system"
    })
    void onlyKeyedInvocationsAreThrottledWithoutRunWhileTheDiskFails(
            String operation, String message) throws Exception {
        start();
        assertThat(order(1, "before")).contains(result("before"));
        disk.fault =
                (diskOperation, name) -> {
                    if (diskOperation.equals(operation) || diskOperation.equals("create")) {
                        throw new java.io.IOException(message);
                    }
                };
        for (int i = 0; i < 5; i++) {
            assertThat(order(2, "meanwhile")).contains("-32014").contains("\"backoff\":");
            assertThat(read()).contains("\"result\"");
            assertThat(order(1, "before")).contains(result("before")); // a retry needs no write
        }
        assertThat(runs).doesNotContainKey("meanwhile");
        disk.fault = (diskOperation, name) -> {};
        assertThat(orderUntilServed(2, "meanwhile")).contains(result("meanwhile"));
        assertThat(order(2, "meanwhile")).contains(result("meanwhile"));
    }

    @Test
    void stalledMarkerWriteThrottlesWithoutRunAndLateMarkerBlocksNoRetry() throws Exception {
        start();
        order(1, "before");
        CountDownLatch released = new CountDownLatch(1);
        disk.fault = VolatileDirectory.stallOn("force", released);
        long startNanos = System.nanoTime();
        assertThat(order(2, "slow")).contains("-32014").contains("\"backoff\":");
        assertThat(System.nanoTime() - startNanos)
                .isLessThan(2_000_000_000L); // well before the client timeout of 4 s
        assertThat(order(3, "behind")).as("while the disk is stalled").contains("-32014");
        assertThat(read()).contains("\"result\"");
        disk.fault = (diskOperation, name) -> {};
        released.countDown();
        assertThat(orderUntilServed(2, "slow")).contains(result("slow"));
        assertThat(orderUntilServed(3, "behind")).contains(result("behind"));
    }

    @Test
    void answerIsSentInTimeBeforeItsResultIsDurableAndTheMarkerRemains() throws Exception {
        start();
        CountDownLatch released = new CountDownLatch(1);
        services.runHandler =
                (rid, operation, body) -> {
                    runs.merge(body, 1, Integer::sum);
                    disk.fault =
                            VolatileDirectory.stallOn(
                                    "force",
                                    released); // the marker is durable, later writes are not
                    services.complete(rid, "result of " + body);
                };
        assertThat(order(1, "run")).contains(result("run"));
        assertThat(order(1, "run")).contains(result("run"));
        VolatileDirectory diskAfterCrash = disk.afterPowerLoss(new java.util.SplittableRandom(4));
        released.countDown();
        gateway.close();
        node.drain();
        services.close();
        disk = diskAfterCrash;
        start();
        assertThat(order(1, "run")).containsAnyOf(result("run"), "-32000");
    }

    @Test
    void resultThatAFailedDiskRejectedIsStoredAfterRecovery() throws Exception {
        start();
        services.runHandler =
                (rid, operation, body) -> {
                    runs.merge(body, 1, Integer::sum);
                    if (body.equals("run")) {
                        disk.fault = VolatileDirectory.failOn("force", "Input/output error");
                    }
                    services.complete(rid, "result of " + body);
                };
        assertThat(order(1, "run")).contains(result("run"));
        assertThat(order(2, "next")).contains("-32014");
        disk.fault = (diskOperation, name) -> {};
        assertThat(orderUntilServed(2, "next")).contains(result("next"));
        assertThat(orderUntilServed(3, "last"))
                .contains(result("last")); // forced after the deferred writes
        VolatileDirectory diskAfterCrash = disk.afterProcessKill();
        gateway.close();
        node.drain();
        services.close();
        disk = diskAfterCrash;
        start();
        assertThat(order(1, "run")).contains(result("run"));
    }

    @Test
    void readOnlyDiskAtStartupThrottlesOnlyKeyedInvocations() throws Exception {
        disk.fault = VolatileDirectory.failOn("create", "Read-only file system");
        start();
        assertThat(order(1, "early")).contains("-32014");
        assertThat(read()).contains("\"result\"");
        disk.fault = (diskOperation, name) -> {};
        assertThat(orderUntilServed(1, "early")).contains(result("early"));
    }

    @Test
    void fullStoreThrottlesNewKeysWithoutRunAndKeepsLiveOnes() throws Exception {
        start();
        int orderCount = 0;
        String answer = "\"result\"";
        while (answer.contains("\"result\"") && orderCount < 2_000) {
            answer = order(++orderCount, "k" + orderCount);
        }
        assertThat(answer).contains("-32014").contains("\"backoff\":");
        assertThat(orderCount)
                // 7/8 of 1,000 entries, or fewer if the limit on index memory is reached first
                .isBetween(700, 900);
        assertThat(runs).doesNotContainKey("k" + orderCount);
        assertThat(order(1, "k1")).contains(result("k1"));
        assertThat(read()).contains("\"result\"");
    }

    @Test
    void damagedStoreThrottlesNewKeysWhileMarkersMayBeMissing() throws Exception {
        start();
        assertThat(order(1, "before")).contains(result("before"));
        Map<String, byte[]> files = disk.contents();
        gateway.close();
        node.drain();
        services.close();
        files.values()
                .forEach(
                        bytes -> {
                            if (bytes.length > 200) {
                                bytes[120] ^= 1; // a byte of the first record
                            }
                        });
        disk = VolatileDirectory.withContents(files);
        start();
        assertThat(order(2, "new")).contains("-32014");
        assertThat(read()).contains("\"result\"");
        assertThat(order(1, "before")).containsAnyOf(result("before"), "-32014");
    }
}
