package ochretiller.uwsgi;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class UwsgiTest {
    private static final int MAX_BODY_BYTES = 2_048;

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    private static byte[] packet(Map<String, String> vars, String body) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        for (byte[] part : new UwsgiRequest(vars, bytes(body), false).encode()) {
            out.writeBytes(part);
        }
        return out.toByteArray();
    }

    private static byte[] orderPacket(String body) {
        Map<String, String> vars = new LinkedHashMap<>();
        vars.put("REQUEST_METHOD", "POST");
        vars.put("PATH_INFO", "/orders/7\u00e9");
        vars.put("CONTENT_LENGTH", body.isEmpty() ? "" : "" + body.length());
        vars.put("HTTP_IDEMPOTENCY_KEY", "k-1");
        vars.put("EMPTY", "");
        return packet(vars, body);
    }

    private static List<UwsgiRequest> read(UwsgiRequestDecoder decoder, byte[]... pieces) {
        List<UwsgiRequest> requests = new ArrayList<>();
        for (byte[] piece : pieces) {
            decoder.decode(piece, 0, piece.length, requests::add);
        }
        return requests;
    }

    private static List<UwsgiRequest> read(byte[]... pieces) {
        return read(new UwsgiRequestDecoder(MAX_BODY_BYTES), pieces);
    }

    /** Builds a packet of an encoded block of name length, name, value length and value. */
    private static byte[] rawPacket(int modifier, int size, String block) {
        byte[] out = new byte[4 + block.length()];
        out[0] = (byte) modifier;
        out[1] = (byte) size;
        out[2] = (byte) (size >> 8);
        System.arraycopy(bytes(block), 0, out, 4, block.length());
        return out;
    }

    @Test
    void decodesPacketAsSpecified() {
        // modifier1 0, variables of 17 bytes, little-endian, modifier2 0; "KEY"="value", "A"=""
        byte[] packet = {
            0, 17, 0, 0, 3, 0, 'K', 'E', 'Y', 5, 0, 'v', 'a', 'l', 'u', 'e', 1, 0, 'A', 0, 0
        };
        assertThat(read(packet))
                .singleElement()
                .satisfies(
                        request -> {
                            assertThat(request.vars()).isEqualTo(Map.of("KEY", "value", "A", ""));
                            assertThat(request.body()).isEmpty();
                        });
    }

    @Test
    void decodesRequestSplitAtAnyByte() {
        byte[] packet = orderPacket("two bolts");
        for (int cut = 0; cut <= packet.length; cut++) {
            List<UwsgiRequest> requests =
                    read(
                            Arrays.copyOf(packet, cut),
                            Arrays.copyOfRange(packet, cut, packet.length));
            assertThat(requests).as("cut at " + cut).hasSize(1);
            assertThat(requests.get(0).vars())
                    .containsEntry("PATH_INFO", "/orders/7\u00e9")
                    .containsEntry("EMPTY", "");
            assertThat(requests.get(0).body()).isEqualTo(bytes("two bolts"));
        }
        UwsgiRequestDecoder decoder = new UwsgiRequestDecoder(MAX_BODY_BYTES);
        List<UwsgiRequest> requests = new ArrayList<>();
        for (byte each : packet) {
            decoder.decode(new byte[] {each}, 0, 1, requests::add);
        }
        assertThat(requests).hasSize(1);
        assertThat(decoder.hasPartialRequest()).isFalse();
    }

    @Test
    void decodesRequestsAndPingsOfOneConnection() {
        byte[] ping = {100, 0, 0, 0};
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        out.writeBytes(orderPacket("a"));
        out.writeBytes(ping);
        out.writeBytes(orderPacket(""));
        out.writeBytes(orderPacket("bc"));
        assertThat(read(out.toByteArray()))
                .extracting(request -> request.isPing() ? "ping" : new String(request.body()))
                .containsExactly("a", "ping", "", "bc");
    }

    @Test
    void reportsPartialRequest() {
        UwsgiRequestDecoder decoder = new UwsgiRequestDecoder(MAX_BODY_BYTES);
        assertThat(decoder.hasPartialRequest()).isFalse();
        byte[] packet = orderPacket("two bolts");
        for (int length : new int[] {1, 4, 20, packet.length - 1}) {
            UwsgiRequestDecoder partial = new UwsgiRequestDecoder(MAX_BODY_BYTES);
            assertThat(read(partial, Arrays.copyOf(packet, length))).isEmpty();
            assertThat(partial.hasPartialRequest()).isTrue();
        }
    }

    @ParameterizedTest
    @CsvSource({
        "-1,400",
        "+5,400",
        "1e3,400",
        "0x10,400",
        "' 5',400",
        "2049,413",
        "99999999999,413",
        "999999999999999999999999,400",
        "5 5,400"
    })
    void rejectsInvalidContentLengthBeforeTheBody(String length, int status) {
        byte[] packet = packet(Map.of("CONTENT_LENGTH", length), "");
        assertThatThrownBy(() -> read(packet))
                .isInstanceOfSatisfying(
                        UwsgiException.class, e -> assertThat(e.status).isEqualTo(status));
    }

    @Test
    void acceptsBodyAndVariablesOfMaximumSize() {
        String body = "x".repeat(MAX_BODY_BYTES);
        assertThat(read(orderPacket(body)))
                .singleElement()
                .satisfies(r -> assertThat(r.body()).hasSize(MAX_BODY_BYTES));
        String value = "v".repeat(65_535 - 4 - 1);
        byte[] packet = packet(Map.of("N", value), "");
        assertThat(packet).hasSize(4 + 65_535);
        assertThat(read(packet))
                .singleElement()
                .satisfies(r -> assertThat(r.vars()).containsEntry("N", value));
        assertThatThrownBy(() -> packet(Map.of("N", value + "v"), ""))
                .isInstanceOf(UwsgiException.class);
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "\u0001",
                "\u0009\0KEY",
                "\u0003\0KEY",
                "\u0003\0KEY\u0005",
                "\u0003\0KEY\u0005\0val",
                "\0\0\u0001\0v",
                "\u0001\0\r\u0001\0v",
                "\u0001\0A\u0001\0\n",
                "\u0001\0A\u0001\0\0",
                "\u0001\0A\u0001\0x\u0001\0A\u0001\0y"
            })
    void rejectsMalformedVariables(String block) {
        assertThatThrownBy(() -> read(rawPacket(0, block.length(), block)))
                .isInstanceOfSatisfying(
                        UwsgiException.class, e -> assertThat(e.status).isEqualTo(400));
    }

    @Test
    void rejectsTooManyVariables() {
        Map<String, String> vars = new LinkedHashMap<>();
        for (int i = 0; i < 513; i++) {
            vars.put("V" + i, "");
        }
        assertThatThrownBy(() -> read(packet(vars, "")))
                .isInstanceOf(UwsgiException.class)
                .hasMessageContaining("512");
    }

    @Test
    void joinsRepeatedHeaders() {
        String block = "\u0006\0HTTP_A\u0001\0x\u0006\0HTTP_A\u0001\0y";
        assertThat(read(rawPacket(0, block.length(), block)).get(0).vars())
                .containsEntry("HTTP_A", "x, y");
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 5, 17, 22, 72, 99, 101, 173, 255})
    void rejectsOtherModifiersWithoutStatus(int modifier) {
        assertThatThrownBy(() -> read(rawPacket(modifier, 0, "")))
                .isInstanceOfSatisfying(UwsgiException.class, e -> assertThat(e.status).isZero());
        assertThatThrownBy(() -> read(rawPacket(100, 1, "x"))).isInstanceOf(UwsgiException.class);
    }

    /** A mutated packet is decoded, rejected or incomplete, and causes no other exception. */
    @Test
    void mutatedPacketsCauseNoOtherException() {
        SplittableRandom random = new SplittableRandom(20);
        byte[][] validPackets = {
            orderPacket("two bolts"),
            orderPacket(""),
            packet(Map.of("CONTENT_LENGTH", "3"), "abc"),
            {100, 0, 0, 0}
        };
        int faults = 0;
        int requests = 0;
        for (int i = 0; i < 1_000_000; i++) {
            byte[] bytes = validPackets[random.nextInt(validPackets.length)].clone();
            for (int flips = random.nextInt(4); flips >= 0; flips--) {
                bytes[random.nextInt(bytes.length)] = (byte) random.nextInt(256);
            }
            int cut = random.nextInt(bytes.length + 1);
            int[] decodedCount = {0};
            try {
                UwsgiRequestDecoder decoder = new UwsgiRequestDecoder(MAX_BODY_BYTES);
                decoder.decode(bytes, 0, cut, request -> decodedCount[0]++);
                decoder.decode(bytes, cut, bytes.length, request -> decodedCount[0]++);
            } catch (UwsgiException e) {
                faults++;
            }
            requests += decodedCount[0];
        }
        assertThat(faults).isGreaterThan(100_000);
        assertThat(requests).isGreaterThan(100_000);
    }

    @Test
    void decodesRandomRequestsAsEncoded() {
        SplittableRandom random = new SplittableRandom(21);
        for (int i = 0; i < 5_000; i++) {
            Map<String, String> vars = new LinkedHashMap<>();
            for (int n = random.nextInt(20); n > 0; n--) {
                vars.put("N" + random.nextInt(1_000), "v".repeat(random.nextInt(300)));
            }
            String body = "b".repeat(random.nextInt(MAX_BODY_BYTES));
            vars.put("CONTENT_LENGTH", "" + body.length());
            byte[] packet = packet(vars, body);
            int cut = random.nextInt(packet.length);
            UwsgiRequest request =
                    read(Arrays.copyOf(packet, cut), Arrays.copyOfRange(packet, cut, packet.length))
                            .get(0);
            assertThat(request.vars()).isEqualTo(vars);
            assertThat(new String(request.body())).isEqualTo(body);
        }
    }

    private static UwsgiResponse decodeResponse(String text, boolean isEndOfInput) {
        UwsgiResponseDecoder decoder = new UwsgiResponseDecoder(MAX_BODY_BYTES);
        UwsgiResponse response = decoder.decode(bytes(text), 0, text.length());
        return response != null || !isEndOfInput ? response : decoder.finish();
    }

    @Test
    void decodesStatusLineAndStatusHeader() {
        assertThat(
                        decodeResponse(
                                "HTTP/1.1 201 Created\r\nX-A: b\r\nContent-Length: 2\r\n\r\nok",
                                false))
                .satisfies(
                        response -> {
                            assertThat(response.status()).isEqualTo(201);
                            assertThat(response.headers()).containsEntry("x-a", "b");
                            assertThat(new String(response.body())).isEqualTo("ok");
                        });
        assertThat(decodeResponse("Status: 404 Not Found\r\n\r\nnone", true))
                .satisfies(
                        response -> {
                            assertThat(response.status()).isEqualTo(404);
                            assertThat(new String(response.body())).isEqualTo("none");
                        });
    }

    @Test
    void decodesResponseSplitAtAnyByte() {
        byte[] encoded =
                new UwsgiResponse(200, Map.of("X-Run", "7"), bytes("result\r\n\r\n")).encode();
        for (int cut = 0; cut <= encoded.length; cut++) {
            UwsgiResponseDecoder decoder = new UwsgiResponseDecoder(MAX_BODY_BYTES);
            UwsgiResponse first = decoder.decode(encoded, 0, cut);
            UwsgiResponse response =
                    first != null ? first : decoder.decode(encoded, cut, encoded.length);
            assertThat(response.status()).isEqualTo(200);
            assertThat(new String(response.body())).isEqualTo("result\r\n\r\n");
            if (cut < encoded.length) {
                assertThat(first).isNull();
            }
        }
    }

    @Test
    void returnsNullForTruncatedResponse() {
        assertThat(decodeResponse("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nok", true)).isNull();
        assertThat(decodeResponse("HTTP/1.1 200 OK\r\nX: y", true)).isNull();
        assertThat(decodeResponse("", true)).isNull();
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 abc\r\n\r\n",
                "HTTP/1.1 99\r\n\r\n",
                "HTTP/1.1\r\n\r\n",
                "X: y\r\n\r\n",
                "nonsense\r\n\r\n",
                "HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n",
                "HTTP/1.1 200 OK\r\nContent-Length: 9999999\r\n\r\n",
                "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n",
                "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nab",
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
                "HTTP/1.1 2000 OK\r\n\r\n"
            })
    void rejectsMalformedResponse(String text) {
        assertThatThrownBy(() -> decodeResponse(text, true)).isInstanceOf(UwsgiException.class);
    }

    @Test
    void rejectsEndlessResponse() {
        UwsgiResponseDecoder decoder = new UwsgiResponseDecoder(MAX_BODY_BYTES);
        byte[] chunk = new byte[1_000];
        assertThatThrownBy(
                        () -> {
                            for (int i = 0; i < 100; i++) {
                                decoder.decode(chunk, 0, chunk.length);
                            }
                        })
                .isInstanceOf(UwsgiException.class);
    }

    @Test
    void peerTextCannotInjectHeader() {
        String text =
                new String(
                        new UwsgiResponse(
                                        200,
                                        Map.of("X-A", "b\r\nX-B: c", "Content-Length", "999"),
                                        bytes("ok"))
                                .encode());
        assertThat(text)
                .contains("X-A: b  X-B: c\r\n")
                .contains("Content-Length: 2\r\n")
                .doesNotContain("999");
    }
}
