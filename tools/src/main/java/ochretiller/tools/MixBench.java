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

/**
 * Both protocols on one packaged server round its full load: the rules, and what a burst of one
 * side takes from the other.
 */
final class MixBench {
    /** Runs a second that the stand-in's two cores get done at eight milliseconds each. */
    private static final double FULL = 250;

    private static final double RUN_MS = 8;
    private static final int CORES = 2;

    /** The configuration's run limit: cores times the crowd that it allows. */
    private static final int RUN_LIMIT = 10;

    /** Descriptors, so that callers beyond full load find room to be told so. */
    private static final int SOCKETS = 8192;

    private static final MixedTraffic.Mix MIX = new MixedTraffic.Mix(0.3, 0.3, 0.05);
    private static final MixedTraffic.Mix EQUAL = new MixedTraffic.Mix(0, 0, 0);
    private static final MixedTraffic.Mix CALM = new MixedTraffic.Mix(0.25, 0, 0);

    /** The objective of both operations. */
    private static final long OBJECTIVE_NS = 2_000_000_000L;

    private static final double WARM_S = 6;
    private static final double READ_VALUE = 1;
    private static final double ORDER_VALUE = 3;

    private final int seconds;

    MixBench(int seconds) {
        this.seconds = seconds;
    }

    /** One server with both sides. */
    private static final class Bench implements AutoCloseable {
        final MeasuredServer served;
        final FakeProcessor processor;
        final JsonRpcClient rpc;
        final ProtocolClient uwsgi;

        Bench(long seed) throws Exception {
            int port;
            try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
                port = free.getLocalPort();
            }
            Path operator = Files.createTempFile("mix", ".json5");
            Files.writeString(
                    operator,
                    "{ uwsgi: { listen: '127.0.0.1:"
                            + port
                            + "', routes: [{ path: '/parts/{id}', operation: 'read' }, { method:"
                            + " 'POST', path: '/orders', operation: 'order' } ] } }");
            served =
                    new MeasuredServer(
                            operator,
                            json ->
                                    json.replace(
                                                    "callsByClass\":[true,true]",
                                                    "callsByClass\":[false,false]")
                                            .replace("\"sockets\":1024", "\"sockets\":" + SOCKETS));
            processor = new FakeProcessor(served.outside, CORES, RUN_MS);
            rpc = new JsonRpcClient(served.port, 60, String.format("%08x", seed));
            uwsgi = new UwsgiClient(port, 1_000, "10.1.2.3");
        }

        @Override
        public void close() throws IOException {
            rpc.close();
            uwsgi.close();
            processor.close();
            served.close();
        }
    }

    private static CompletableFuture<Void> sends(
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

    /** All rules, counted: each column but the first three has to be zero. */
    private void rules() throws Exception {
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
            try (Bench bench = new Bench((long) (load * 10))) {
                MixedTraffic one = new MixedTraffic(bench.rpc, bench.uwsgi, MIX, 1);
                MixedTraffic other = new MixedTraffic(bench.uwsgi, bench.rpc, MIX, 2);
                CompletableFuture<Void> first = sends(one, load * FULL / 2, seconds);
                CompletableFuture<Void> second = sends(other, load * FULL / 2, seconds);
                first.get();
                second.get();
                Map<MeasuredRequest.Outcome, Long> all = one.outcomes();
                other.outcomes().forEach((outcome, count) -> all.merge(outcome, count, Long::sum));
                List<MeasuredRequest> asks = new ArrayList<>(one.asks);
                asks.addAll(other.asks);
                long twice =
                        bench.processor.tokens.values().stream()
                                .filter(note -> note.runs.get() > 1)
                                .count();
                // A repeat is sent only behind the answer of the try before it, so what ran by then
                // ran under an earlier try.
                long untrue =
                        asks.stream()
                                .filter(
                                        ask ->
                                                ask.token != null
                                                        && ask.outcome.getNow(null)
                                                                == MeasuredRequest.Outcome
                                                                        .THROTTLED)
                                .filter(
                                        ask ->
                                                bench.processor.tokens.containsKey(ask.token)
                                                        && bench.processor.tokens.get(ask.token)
                                                                        .firstAt
                                                                < ask.sentAt)
                                .count();
                table.row(
                        load,
                        asks.size(),
                        all.getOrDefault(MeasuredRequest.Outcome.SUCCEEDED, 0L),
                        all.getOrDefault(MeasuredRequest.Outcome.THROTTLED, 0L),
                        all.getOrDefault(MeasuredRequest.Outcome.ERRORED, 0L),
                        all.getOrDefault(MeasuredRequest.Outcome.NONE, 0L),
                        bench.rpc.surplus() + bench.uwsgi.surplus(),
                        twice,
                        untrue,
                        Math.max(0, bench.processor.most.get() - RUN_LIMIT));
                System.out.println(
                        "  connections ended: "
                                + bench.served.ends
                                + ", sent again over another: "
                                + bench.rpc.again());
            }
        }
        table.keep();
    }

    private static double value(MixedTraffic traffic) throws Exception {
        traffic.outcomes();
        double value = 0;
        double all = 0;
        for (MeasuredRequest ask : traffic.asks) {
            double worth = ask.token == null ? READ_VALUE : ORDER_VALUE;
            all += worth;
            if (ask.outcome.getNow(null) == MeasuredRequest.Outcome.SUCCEEDED
                    && ask.answeredAt - ask.due < OBJECTIVE_NS) {
                value += worth;
            }
        }
        return value / all;
    }

    /** Share of all asked that succeeded behind their objective. */
    private static double late(MixedTraffic traffic) {
        return traffic.asks.stream()
                        .filter(
                                ask ->
                                        ask.outcome.getNow(null)
                                                        == MeasuredRequest.Outcome.SUCCEEDED
                                                && ask.answeredAt - ask.due >= OBJECTIVE_NS)
                        .count()
                / (double) traffic.asks.size();
    }

    /**
     * What one side gets beside a calm neighbour and beside one at six times its rate, on the same
     * arrivals.
     */
    private void fairness() throws Exception {
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
        for (MixedTraffic.Mix mix : new MixedTraffic.Mix[] {EQUAL, CALM}) {
            for (boolean rpcBursts : new boolean[] {true, false}) {
                int seed = rpcBursts ? 1 : 2;
                double[] got = new double[2];
                double bursting = 0;
                double[] late = new double[2];
                for (int times : new int[] {1, 6}) {
                    try (Bench bench = new Bench(seed)) {
                        ProtocolClient bursts = rpcBursts ? bench.rpc : bench.uwsgi;
                        ProtocolClient calm = rpcBursts ? bench.uwsgi : bench.rpc;
                        // Both protocols' ways are compiled by then, as they are in a server that
                        // has served for a while.
                        CompletableFuture<Void> warm =
                                sends(new MixedTraffic(bursts, calm, mix, 30 + seed), FULL, WARM_S);
                        sends(new MixedTraffic(calm, bursts, mix, 40 + seed), FULL, WARM_S).get();
                        warm.get();
                        Thread.sleep(1_000);
                        MixedTraffic burst = new MixedTraffic(bursts, calm, mix, 10 + seed);
                        MixedTraffic other = new MixedTraffic(calm, bursts, mix, 20 + seed);
                        CompletableFuture<Void> first = sends(burst, times * FULL * 0.35, seconds);
                        CompletableFuture<Void> second = sends(other, FULL * 0.35, seconds);
                        first.get();
                        second.get();
                        got[times == 1 ? 0 : 1] = value(other);
                        bursting = value(burst);
                        late[0] = late(other);
                        late[1] = late(burst);
                    }
                }
                table.row(
                        mix == EQUAL ? "one operation" : "reads and orders",
                        rpcBursts ? "JSON-RPC" : "uwsgi",
                        seed,
                        got[0],
                        got[1],
                        got[0] - got[1],
                        bursting,
                        late[0],
                        late[1]);
            }
        }
        table.keep();
    }

    void run(boolean onlyFairness) throws Exception {
        if (!onlyFairness) {
            rules();
        }
        fairness();
    }

    /** CPU that one invocation of each protocol costs the server, in turn on the same process. */
    void cpu(int rounds) throws Exception {
        ResultTable table = new ResultTable("mix-cpu", "round", "JSON-RPC us", "uwsgi us", "ratio");
        try (Bench bench = new Bench(7)) {
            bench.served.outside.runs =
                    (rid, operation, body) ->
                            bench.served.outside.complete(rid, "result of " + rid);
            for (int round = 0; round <= rounds; round++) {
                double rpc = cpu(bench, bench.rpc, bench.uwsgi, round);
                double uwsgi = cpu(bench, bench.uwsgi, bench.rpc, round);
                if (round > 0) {
                    table.row(round, rpc, uwsgi, uwsgi / rpc); // the first warms both
                }
            }
        }
        table.keep();
    }

    private double cpu(Bench bench, ProtocolClient side, ProtocolClient other, int seed)
            throws Exception {
        MixedTraffic traffic = new MixedTraffic(side, other, CALM, seed);
        double before = bench.served.cpuSeconds();
        traffic.send(400, seconds);
        long succeeded = traffic.outcomes().getOrDefault(MeasuredRequest.Outcome.SUCCEEDED, 0L);
        return (bench.served.cpuSeconds() - before) * 1e6 / Math.max(1, succeeded);
    }
}
