package ochretiller.fleet.epochs;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import ochretiller.golden.GoldenFile;
import org.junit.jupiter.api.Test;

/** Which range a token falls into and who keeps it: servers of several releases agree on that. */
class LayoutGoldenTest {
    private static final GoldenFile DRAWS = new GoldenFile("layout-draws");
    private static final List<String> TOKENS =
            List.of("", "a", "a token", "caf\u00e9", "order-17", "x".repeat(200));

    private static byte[] text(Object value) {
        return value.toString().getBytes(StandardCharsets.UTF_8);
    }

    @Test
    void rangesAndTheirKeepersAreTheGoldenOnes() {
        List<Layout.Server> servers = new ArrayList<>();
        for (int i = 0; i < 7; i++) {
            servers.add(new Layout.Server("n" + i, "z" + i % 2));
        }
        Layout layout = new Layout(4, servers, servers.subList(0, 3), 3);
        Map<String, byte[]> made = new LinkedHashMap<>();
        made.put("ranges-of-tokens", text(TOKENS.stream().map(Layout::range).toList()));
        for (int range = 0; range < Layout.RANGES; range += 5) {
            made.put("keepers-of-" + range, text(layout.keepers(range)));
            made.put("former-keepers-of-" + range, text(layout.formerKeepers(range)));
        }
        DRAWS.assertHolds(made);
    }
}
