package ochretiller.drill;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.TreeMap;
import ochretiller.fleet.transport.AdminClient;
import ochretiller.fleet.transport.FleetKeys;

/** Asks one server again and again how it sees the fleet, and notes what has changed. */
final class MembershipPoller {
    /** Asks on one connection, fewer than the server answers there. */
    private static final int ASKS = 90;

    private static final ObjectMapper JSON = new ObjectMapper();
    static final FleetKeys KEYS = FleetKeys.of("a key that only drills have");

    private final ServerProcess box;
    private final int port;
    private volatile History history;
    private final int everyMs;
    private volatile boolean over;
    volatile Map<String, String> states = Map.of();
    volatile String digest = "";
    volatile String start;

    MembershipPoller(ServerProcess box, int port, History history, int everyMs) {
        this.box = box;
        this.port = port;
        this.history = history;
        this.everyMs = everyMs;
        Thread thread = new Thread(this::work, "watch-" + box.slot.number());
        thread.setDaemon(true);
        thread.start();
    }

    /** What is seen from here on is noted there, all of it once more. */
    void become(History next) {
        history = next;
        digest = "";
    }

    void end() {
        over = true;
    }

    private void work() {
        try {
            while (!over) {
                if (!box.up || box.paused) {
                    Thread.sleep(everyMs);
                    continue;
                }
                try (AdminClient client =
                        new AdminClient(
                                new InetSocketAddress(InetAddress.getLoopbackAddress(), port),
                                "drill",
                                KEYS)) {
                    for (int i = 0; i < ASKS && !over && box.up && !box.paused; i++) {
                        look(JSON.readTree(client.request("view")));
                        Thread.sleep(everyMs);
                    }
                } catch (IOException e) {
                    Thread.sleep(everyMs); // it was killed or paused in the midst of it
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void look(JsonNode view) {
        Map<String, String> next = new TreeMap<>();
        String self = null;
        for (JsonNode each : view.get("members")) {
            next.put(each.get("start").asText(), each.get("state").asText());
            if (each.get("self").asBoolean()) {
                self = each.get("start").asText();
            }
        }
        String nextDigest = view.get("digest").asText();
        if (next.equals(states) && nextDigest.equals(digest) && self.equals(start)) {
            return;
        }
        states = next;
        digest = nextDigest;
        start = self;
        history.view(box.slot.number(), self, nextDigest, next);
    }
}
