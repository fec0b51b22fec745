package ochretiller.tools;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import ochretiller.uwsgi.UwsgiRequest;
import ochretiller.uwsgi.UwsgiRequestDecoder;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.infra.Blackhole;
import org.openjdk.jmh.profile.GCProfiler;
import org.openjdk.jmh.results.RunResult;
import org.openjdk.jmh.runner.Runner;
import org.openjdk.jmh.runner.options.OptionsBuilder;
import org.openjdk.jmh.runner.options.TimeValue;

/**
 * Compares decoding one request of a front end, whole or in pieces, with a plain copy of its bytes.
 */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
public class DecoderBench {
    /** Bytes that are passed to the decoder at a time. */
    @Param({"65536", "100", "1"})
    public int piece;

    private byte[] encodedRequest;

    @Setup
    public void encodeRequest() {
        Map<String, String> vars = new LinkedHashMap<>();
        vars.put("REQUEST_METHOD", "POST");
        vars.put("REQUEST_URI", "/orders");
        vars.put("PATH_INFO", "/orders");
        vars.put("QUERY_STRING", "");
        vars.put("SERVER_PROTOCOL", "HTTP/1.1");
        vars.put("CONTENT_TYPE", "application/json");
        vars.put("CONTENT_LENGTH", "200");
        vars.put("REMOTE_ADDR", "10.1.2.3");
        vars.put("REMOTE_PORT", "51515");
        vars.put("SERVER_NAME", "parts");
        vars.put("SERVER_PORT", "80");
        vars.put("HTTP_HOST", "parts.internal");
        vars.put("HTTP_ACCEPT", "*/*");
        vars.put("HTTP_IDEMPOTENCY_KEY", "5c0f6e1a2b3d4c59a8b7c6d5e4f30211");
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        for (byte[] part :
                new UwsgiRequest(vars, "x".repeat(200).getBytes(StandardCharsets.ISO_8859_1), false)
                        .encode()) {
            out.writeBytes(part);
        }
        encodedRequest = out.toByteArray();
    }

    @Benchmark
    public void decode(Blackhole blackhole) {
        UwsgiRequestDecoder decoder =
                new UwsgiRequestDecoder(
                        2_048); // one per request: front ends open a connection for each
        for (int at = 0; at < encodedRequest.length; at += piece) {
            decoder.decode(
                    encodedRequest,
                    at,
                    Math.min(encodedRequest.length, at + piece),
                    blackhole::consume);
        }
    }

    @Benchmark
    public void copy(Blackhole blackhole) {
        byte[] target = new byte[encodedRequest.length];
        for (int at = 0; at < encodedRequest.length; at += piece) {
            System.arraycopy(
                    encodedRequest,
                    at,
                    target,
                    at,
                    Math.min(encodedRequest.length, at + piece) - at);
        }
        blackhole.consume(target);
    }

    @SuppressWarnings("rawtypes") // JMH declares its secondary results with the raw type Result
    static void measure() throws Exception {
        Collection<RunResult> results =
                new Runner(
                                new OptionsBuilder()
                                        .include(DecoderBench.class.getName())
                                        .forks(1)
                                        .warmupIterations(2)
                                        .warmupTime(TimeValue.seconds(1))
                                        .measurementIterations(3)
                                        .measurementTime(TimeValue.seconds(1))
                                        .addProfiler(GCProfiler.class)
                                        .build())
                        .run();
        ResultTable table =
                new ResultTable(
                        "uwsgi-decode",
                        "what",
                        "bytes at once",
                        "ns a request",
                        "error",
                        "bytes allocated");
        for (RunResult result : results) {
            String name = result.getParams().getBenchmark();
            table.addRow(
                    name.substring(name.lastIndexOf('.') + 1),
                    result.getParams().getParam("piece"),
                    result.getPrimaryResult().getScore(),
                    result.getPrimaryResult().getScoreError(),
                    result.getSecondaryResults().entrySet().stream()
                            .filter(each -> each.getKey().endsWith("alloc.rate.norm"))
                            .mapToDouble(each -> each.getValue().getScore())
                            .findFirst()
                            .orElse(Double.NaN));
        }
        table.save();
    }
}
