package ochretiller.tools;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

/** Measures rules, fairness and CPU cost of both protocols on a server around its full load. */
final class MixBench {
    /** Full load, in runs a second that the fake processor completes: 2 cores at 8 ms a run. */
    private static final double FULL_RPS = 250;

    private static final double RUN_MS = 8;
    private static final int CORES = 2;

    /** Concurrent runs that the configuration allows: cores times {@code fallMultiple}. */
    private static final int RUN_LIMIT = 10;

    /** Descriptor limit: clients beyond full load need a connection on which to be throttled. */
    private static final int SOCKETS = 8192;

    private static final MixedTraffic.Mix WITH_RETRIES = new MixedTraffic.Mix(0.3, 0.3, 0.05);
    private static final MixedTraffic.Mix READS_ONLY = new MixedTraffic.Mix(0, 0, 0);
    private static final MixedTraffic.Mix READS_AND_ORDERS = new MixedTraffic.Mix(0.25, 0, 0);

    /** The latency objective of both operations. */
    private static final long OBJECTIVE_NS = 2_000_000_000L;

    private static final double WARM_UP_S = 6;
    private static final double READ_VALUE = 1;
    private static final double ORDER_VALUE = 3;

    private final int seconds;

    MixBench(int seconds) {
        this.seconds = seconds;
    }

    /** A server with a client of each protocol. */
    private static final class TestSetup implements AutoCloseable {
        final MeasuredServer server;
        final FakeProcessor processor;
        final JsonRpcClient jsonRpc;
        final ProtocolClient uwsgi;

        TestSetup(long seed) throws Exception {
            int uwsgiPort;
            try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
                uwsgiPort = free.getLocalPort();
            }
            Path operatorFile = Files.createTempFile("mix", ".json5");
            Files.writeString(
                    operatorFile,
                    "{ uwsgi: { listen: '127.0.0.1:"
                            + uwsgiPort
                            + "', routes: [{ path: '/parts/{id}', operation: 'read' }, { method:"
                            + " 'POST', path: '/orders', operation: 'order' } ] } }");
            server =
                    new MeasuredServer(
                            operatorFile,
                            json ->
                                    json.replace(
                                                    "callsByClass\":[true,true]",
                                                    "callsByClass\":[false,false]")
                                            .replace("\"sockets\":1024", "\"sockets\":" + SOCKETS));
            processor = new FakeProcessor(server.fakeServices, CORES, RUN_MS);
            jsonRpc = new JsonRpcClient(server.port, 60, String.format("%08x", seed));
            uwsgi = new UwsgiClient(uwsgiPort, 1_000, "10.1.2.3");
        }

        @Override
        public void close() throws IOException {
            jsonRpc.close();
            uwsgi.close();
            processor.close();
            server.close();
        }
    }

    private static CompletableFuture<Void> sendAsync(
            MixedTraffic traffic, double perSecond, double seconds) {
        return CompletableFuture.runAsync(
                () -> {
                    try {
                        traffic.send(perSecond, seconds);
                    } catch (IOException e) {
                        throw new IllegalStateException(e);
                    }
                });
    }

    /** Counts outcomes and violations of the rules; the columns after "errored" must be zero. */
    private void measureRules() throws Exception {
        ResultTable table =
                new ResultTable(
                        "mix-rules",
                        "load over full",
                        "asked",
                        "succeeded",
                        "throttled",
                        "errored",
                        "lost",
                        "second answers",
                        "orders run twice",
                        "throttled after a run",
                        "most at once over the limit");
        for (double load : new double[] {0.7, 1, 1.5, 3}) {
            try (TestSetup setup = new TestSetup((long) (load * 10))) {
                MixedTraffic rpc = new MixedTraffic(setup.jsonRpc, setup.uwsgi, WITH_RETRIES, 1);
                MixedTraffic uwsgi = new MixedTraffic(setup.uwsgi, setup.jsonRpc, WITH_RETRIES, 2);
                CompletableFuture<Void> rpcSent = sendAsync(rpc, load * FULL_RPS / 2, seconds);
                CompletableFuture<Void> uwsgiSent = sendAsync(uwsgi, load * FULL_RPS / 2, seconds);
                rpcSent.get();
                uwsgiSent.get();
                Map<MeasuredRequest.Outcome, Long> counts = rpc.awaitOutcomes();
                uwsgi.awaitOutcomes()
                        .forEach((outcome, count) -> counts.merge(outcome, count, Long::sum));
                List<MeasuredRequest> requests = new ArrayList<>(rpc.requests);
                requests.addAll(uwsgi.requests);
                long ranTwice =
                        setup.processor.tokens.values().stream()
                                .filter(tokenRuns -> tokenRuns.count.get() > 1)
                                .count();
                // A retry is sent after the previous attempt has ended, so a run that began before
                // the retry was sent belongs to the previous attempt.
                long throttledAfterRun =
                        requests.stream()
                                .filter(
                                        request ->
                                                request.token != null
                                                        && request.outcome.getNow(null)
                                                                == MeasuredRequest.Outcome
                                                                        .THROTTLED)
                                .filter(
                                        request ->
                                                setup.processor.tokens.containsKey(request.token)
                                                        && setup.processor.tokens.get(request.token)
                                                                        .firstStartNanos
                                                                < request.sentNanos)
                                .count();
                table.addRow(
                        load,
                        requests.size(),
                        counts.getOrDefault(MeasuredRequest.Outcome.SUCCEEDED, 0L),
                        counts.getOrDefault(MeasuredRequest.Outcome.THROTTLED, 0L),
                        counts.getOrDefault(MeasuredRequest.Outcome.ERRORED, 0L),
                        counts.getOrDefault(MeasuredRequest.Outcome.UNANSWERED, 0L),
                        setup.jsonRpc.unexpectedAnswers() + setup.uwsgi.unexpectedAnswers(),
                        ranTwice,
                        throttledAfterRun,
                        Math.max(0, setup.processor.maxConcurrentRuns.get() - RUN_LIMIT));
                System.out.println(
                        "  connections ended: "
                                + setup.server.closeCodeCounts
                                + ", sent again over another: "
                                + setup.jsonRpc.resentRequests());
            }
        }
        table.save();
    }

    private static double earnedShare(MixedTraffic traffic) throws Exception {
        traffic.awaitOutcomes();
        double earned = 0;
        double offered = 0;
        for (MeasuredRequest request : traffic.requests) {
            double value = request.token == null ? READ_VALUE : ORDER_VALUE;
            offered += value;
            if (request.outcome.getNow(null) == MeasuredRequest.Outcome.SUCCEEDED
                    && request.endNanos - request.dueNanos < OBJECTIVE_NS) {
                earned += value;
            }
        }
        return earned / offered;
    }

    /** Returns the share of all requests that succeeded, but later than the objective. */
    private static double lateShare(MixedTraffic traffic) {
        return traffic.requests.stream()
                        .filter(
                                request ->
                                        request.outcome.getNow(null)
                                                        == MeasuredRequest.Outcome.SUCCEEDED
                                                && request.endNanos - request.dueNanos
                                                        >= OBJECTIVE_NS)
                        .count()
                / (double) traffic.requests.size();
    }

    /**
     * Measures the value that one protocol's clients earn while the other's send at the same rate,
     * and at six times that rate. Their own arrivals are the same in both cases.
     */
    private void measureFairness() throws Exception {
        ResultTable table =
                new ResultTable(
                        "mix-fairness",
                        "what is asked",
                        "bursting side",
                        "seed",
                        "other's value beside calm",
                        "beside six times",
                        "difference",
                        "bursting side's value",
                        "other's late",
                        "bursting side's late");
        for (MixedTraffic.Mix mix : new MixedTraffic.Mix[] {READS_ONLY, READS_AND_ORDERS}) {
            for (boolean rpcBursts : new boolean[] {true, false}) {
                int seed = rpcBursts ? 1 : 2;
                double[] steadyEarned = new double[2];
                double burstEarned = 0;
                double[] late = new double[2];
                for (int factor : new int[] {1, 6}) {
                    try (TestSetup setup = new TestSetup(seed)) {
                        ProtocolClient bursting = rpcBursts ? setup.jsonRpc : setup.uwsgi;
                        ProtocolClient steady = rpcBursts ? setup.uwsgi : setup.jsonRpc;
                        // Warm-up: a server that has run for a while has compiled both protocols.
                        CompletableFuture<Void> warmUp =
                                sendAsync(
                                        new MixedTraffic(bursting, steady, mix, 30 + seed),
                                        FULL_RPS,
                                        WARM_UP_S);
                        sendAsync(
                                        new MixedTraffic(steady, bursting, mix, 40 + seed),
                                        FULL_RPS,
                                        WARM_UP_S)
                                .get();
                        warmUp.get();
                        Thread.sleep(1_000);
                        MixedTraffic burst = new MixedTraffic(bursting, steady, mix, 10 + seed);
                        MixedTraffic other = new MixedTraffic(steady, bursting, mix, 20 + seed);
                        CompletableFuture<Void> burstSent =
                                sendAsync(burst, factor * FULL_RPS * 0.35, seconds);
                        CompletableFuture<Void> otherSent =
                                sendAsync(other, FULL_RPS * 0.35, seconds);
                        burstSent.get();
                        otherSent.get();
                        steadyEarned[factor == 1 ? 0 : 1] = earnedShare(other);
                        burstEarned = earnedShare(burst);
                        late[0] = lateShare(other);
                        late[1] = lateShare(burst);
                    }
                }
                table.addRow(
                        mix == READS_ONLY ? "one operation" : "reads and orders",
                        rpcBursts ? "JSON-RPC" : "uwsgi",
                        seed,
                        steadyEarned[0],
                        steadyEarned[1],
                        steadyEarned[0] - steadyEarned[1],
                        burstEarned,
                        late[0],
                        late[1]);
            }
        }
        table.save();
    }

    void run(boolean onlyFairness) throws Exception {
        if (!onlyFairness) {
            measureRules();
        }
        measureFairness();
    }

    /** Measures the server's CPU per invocation of each protocol, in turn in one process. */
    void measureCpu(int rounds) throws Exception {
        ResultTable table = new ResultTable("mix-cpu", "round", "JSON-RPC us", "uwsgi us", "ratio");
        try (TestSetup setup = new TestSetup(7)) {
            setup.server.fakeServices.runHandler =
                    (rid, operation, body) ->
                            setup.server.fakeServices.complete(rid, "result of " + rid);
            for (int round = 0; round <= rounds; round++) {
                double rpcMicros = cpuMicros(setup, setup.jsonRpc, setup.uwsgi, round);
                double uwsgiMicros = cpuMicros(setup, setup.uwsgi, setup.jsonRpc, round);
                if (round > 0) { // round 0 is the warm-up
                    table.addRow(round, rpcMicros, uwsgiMicros, uwsgiMicros / rpcMicros);
                }
            }
        }
        table.save();
    }

    private double cpuMicros(TestSetup setup, ProtocolClient client, ProtocolClient other, int seed)
            throws Exception {
        MixedTraffic traffic = new MixedTraffic(client, other, READS_AND_ORDERS, seed);
        double before = setup.server.cpuSeconds();
        traffic.send(400, seconds);
        long succeeded =
                traffic.awaitOutcomes().getOrDefault(MeasuredRequest.Outcome.SUCCEEDED, 0L);
        return (setup.server.cpuSeconds() - before) * 1e6 / Math.max(1, succeeded);
    }
}
