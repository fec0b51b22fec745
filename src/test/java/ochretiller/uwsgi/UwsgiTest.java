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
    private static final int LONGEST = 2_048;

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

    private static byte[] order(String body) {
        Map<String, String> vars = new LinkedHashMap<>();
        vars.put("REQUEST_METHOD", "POST");
        vars.put("PATH_INFO", "/orders/7\u00e9");
        vars.put("CONTENT_LENGTH", body.isEmpty() ? "" : "" + body.length());
        vars.put("HTTP_IDEMPOTENCY_KEY", "k-1");
        vars.put("EMPTY", "");
        return packet(vars, body);
    }

    private static List<UwsgiRequest> read(UwsgiRequestDecoder decoder, byte[]... pieces) {
        List<UwsgiRequest> all = new ArrayList<>();
        for (byte[] piece : pieces) {
            decoder.read(piece, 0, piece.length, all::add);
        }
        return all;
    }

    private static List<UwsgiRequest> read(byte[]... pieces) {
        return read(new UwsgiRequestDecoder(LONGEST), pieces);
    }

    /** A block of variables as raw numbers: name length, name, value length, value. */
    private static byte[] raw(int modifier, int size, String block) {
        byte[] out = new byte[4 + block.length()];
        out[0] = (byte) modifier;
        out[1] = (byte) size;
        out[2] = (byte) (size >> 8);
        System.arraycopy(bytes(block), 0, out, 4, block.length());
        return out;
    }

    @Test
    void packetOfThePublishedFormIsRead() {
        // modifier1 0, 16 bytes of variables little-endian, modifier2 0; "KEY" = "value", "A" = ""
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
    void eachSplitGivesTheSame() {
        byte[] packet = order("two bolts");
        for (int cut = 0; cut <= packet.length; cut++) {
            List<UwsgiRequest> all =
                    read(
                            Arrays.copyOf(packet, cut),
                            Arrays.copyOfRange(packet, cut, packet.length));
            assertThat(all).as("cut at " + cut).hasSize(1);
            assertThat(all.get(0).vars())
                    .containsEntry("PATH_INFO", "/orders/7\u00e9")
                    .containsEntry("EMPTY", "");
            assertThat(all.get(0).body()).isEqualTo(bytes("two bolts"));
        }
        UwsgiRequestDecoder decoder = new UwsgiRequestDecoder(LONGEST);
        List<UwsgiRequest> all = new ArrayList<>();
        for (byte each : packet) {
            decoder.read(new byte[] {each}, 0, 1, all::add);
        }
        assertThat(all).hasSize(1);
        assertThat(decoder.within()).isFalse();
    }

    @Test
    void severalOnOneConnectionAndPingsBetweenThem() {
        byte[] ping = {100, 0, 0, 0};
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        out.writeBytes(order("a"));
        out.writeBytes(ping);
        out.writeBytes(order(""));
        out.writeBytes(order("bc"));
        assertThat(read(out.toByteArray()))
                .extracting(request -> request.ping() ? "ping" : new String(request.body()))
                .containsExactly("a", "ping", "", "bc");
    }

    @Test
    void cutRequestIsKnownAsSuch() {
        UwsgiRequestDecoder decoder = new UwsgiRequestDecoder(LONGEST);
        assertThat(decoder.within()).isFalse();
        byte[] packet = order("two bolts");
        for (int length : new int[] {1, 4, 20, packet.length - 1}) {
            UwsgiRequestDecoder cut = new UwsgiRequestDecoder(LONGEST);
            assertThat(read(cut, Arrays.copyOf(packet, length))).isEmpty();
            assertThat(cut.within()).isTrue();
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
    void lengthThatIsNoneIsRefusedBeforeABodyIsKept(String length, int status) {
        byte[] packet = packet(Map.of("CONTENT_LENGTH", length), "");
        assertThatThrownBy(() -> read(packet))
                .isInstanceOfSatisfying(
                        UwsgiException.class, e -> assertThat(e.status).isEqualTo(status));
    }

    @Test
    void longestBodyAndLongestVariablesAreTaken() {
        String body = "x".repeat(LONGEST);
        assertThat(read(order(body)))
                .singleElement()
                .satisfies(r -> assertThat(r.body()).hasSize(LONGEST));
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
    void blockWhoseLengthsLieIsMalformed(String block) {
        assertThatThrownBy(() -> read(raw(0, block.length(), block)))
                .isInstanceOfSatisfying(
                        UwsgiException.class, e -> assertThat(e.status).isEqualTo(400));
    }

    @Test
    void tooManyVariablesAreRefused() {
        Map<String, String> vars = new LinkedHashMap<>();
        for (int i = 0; i < 513; i++) {
            vars.put("V" + i, "");
        }
        assertThatThrownBy(() -> read(packet(vars, "")))
                .isInstanceOf(UwsgiException.class)
                .hasMessageContaining("512");
    }

    @Test
    void headersThatComeTwiceAreOneList() {
        String block = "\u0006\0HTTP_A\u0001\0x\u0006\0HTTP_A\u0001\0y";
        assertThat(read(raw(0, block.length(), block)).get(0).vars())
                .containsEntry("HTTP_A", "x, y");
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 5, 17, 22, 72, 99, 101, 173, 255})
    void otherModifiersEndTheConnection(int modifier) {
        assertThatThrownBy(() -> read(raw(modifier, 0, "")))
                .isInstanceOfSatisfying(UwsgiException.class, e -> assertThat(e.status).isZero());
        assertThatThrownBy(() -> read(raw(100, 1, "x"))).isInstanceOf(UwsgiException.class);
    }

    /**
     * Whatever comes is requests, a fault or a wait; never another exception, and never more kept
     * than was sent.
     */
    @Test
    void millionMutationsOfGoodPackets() {
        SplittableRandom chance = new SplittableRandom(20);
        byte[][] good = {
            order("two bolts"),
            order(""),
            packet(Map.of("CONTENT_LENGTH", "3"), "abc"),
            {100, 0, 0, 0}
        };
        int faults = 0;
        int requests = 0;
        for (int i = 0; i < 1_000_000; i++) {
            byte[] bytes = good[chance.nextInt(good.length)].clone();
            for (int flips = chance.nextInt(4); flips >= 0; flips--) {
                bytes[chance.nextInt(bytes.length)] = (byte) chance.nextInt(256);
            }
            int cut = chance.nextInt(bytes.length + 1);
            int[] got = {0};
            try {
                UwsgiRequestDecoder decoder = new UwsgiRequestDecoder(LONGEST);
                decoder.read(bytes, 0, cut, request -> got[0]++);
                decoder.read(bytes, cut, bytes.length, request -> got[0]++);
            } catch (UwsgiException e) {
                faults++;
            }
            requests += got[0];
        }
        assertThat(faults).isGreaterThan(100_000);
        assertThat(requests).isGreaterThan(100_000);
    }

    @Test
    void roundTripsOfRandomRequests() {
        SplittableRandom chance = new SplittableRandom(21);
        for (int i = 0; i < 5_000; i++) {
            Map<String, String> vars = new LinkedHashMap<>();
            for (int n = chance.nextInt(20); n > 0; n--) {
                vars.put("N" + chance.nextInt(1_000), "v".repeat(chance.nextInt(300)));
            }
            String body = "b".repeat(chance.nextInt(LONGEST));
            vars.put("CONTENT_LENGTH", "" + body.length());
            byte[] packet = packet(vars, body);
            int cut = chance.nextInt(packet.length);
            UwsgiRequest read =
                    read(Arrays.copyOf(packet, cut), Arrays.copyOfRange(packet, cut, packet.length))
                            .get(0);
            assertThat(read.vars()).isEqualTo(vars);
            assertThat(new String(read.body())).isEqualTo(body);
        }
    }

    private static UwsgiResponse answer(String text, boolean ends) {
        UwsgiResponseDecoder decoder = new UwsgiResponseDecoder(LONGEST);
        UwsgiResponse read = decoder.read(bytes(text), 0, text.length());
        return read != null || !ends ? read : decoder.ended();
    }

    @Test
    void answersOfBothFormsAreRead() {
        assertThat(answer("HTTP/1.1 201 Created\r\nX-A: b\r\nContent-Length: 2\r\n\r\nok", false))
                .satisfies(
                        read -> {
                            assertThat(read.status()).isEqualTo(201);
                            assertThat(read.headers()).containsEntry("x-a", "b");
                            assertThat(new String(read.body())).isEqualTo("ok");
                        });
        assertThat(answer("Status: 404 Not Found\r\n\r\nnone", true))
                .satisfies(
                        read -> {
                            assertThat(read.status()).isEqualTo(404);
                            assertThat(new String(read.body())).isEqualTo("none");
                        });
    }

    @Test
    void eachSplitOfAnAnswerGivesTheSame() {
        byte[] whole =
                new UwsgiResponse(200, Map.of("X-Run", "7"), bytes("result\r\n\r\n")).encode();
        for (int cut = 0; cut <= whole.length; cut++) {
            UwsgiResponseDecoder decoder = new UwsgiResponseDecoder(LONGEST);
            UwsgiResponse first = decoder.read(whole, 0, cut);
            UwsgiResponse read = first != null ? first : decoder.read(whole, cut, whole.length);
            assertThat(read.status()).isEqualTo(200);
            assertThat(new String(read.body())).isEqualTo("result\r\n\r\n");
            if (cut < whole.length) {
                assertThat(first).isNull();
            }
        }
    }

    @Test
    void answerThatEndsEarlyIsNone() {
        assertThat(answer("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nok", true)).isNull();
        assertThat(answer("HTTP/1.1 200 OK\r\nX: y", true)).isNull();
        assertThat(answer("", true)).isNull();
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
    void spoiltAnswerIsAFault(String text) {
        assertThatThrownBy(() -> answer(text, true)).isInstanceOf(UwsgiException.class);
    }

    @Test
    void answerThatNeverEndsIsBounded() {
        UwsgiResponseDecoder decoder = new UwsgiResponseDecoder(LONGEST);
        byte[] more = new byte[1_000];
        assertThatThrownBy(
                        () -> {
                            for (int i = 0; i < 100; i++) {
                                decoder.read(more, 0, more.length);
                            }
                        })
                .isInstanceOf(UwsgiException.class);
    }

    @Test
    void textOfAPeerMakesNoHeaderOfItsOwn() {
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
