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

/** Polls the membership view of one server on its own thread and records each change. */
final class MembershipPoller {
    /** Below the number of requests that the server answers on one connection. */
    private static final int REQUESTS_PER_CONNECTION = 90;

    private static final ObjectMapper JSON = new ObjectMapper();
    static final FleetKeys DRILL_KEYS = FleetKeys.of("a key that only drills have");

    private final ServerProcess server;
    private final int port;
    private volatile History history;
    private final int intervalMs;
    private volatile boolean stopped;

    /** Member states by incarnation, as last polled. */
    volatile Map<String, String> states = Map.of();

    volatile String digest = "";

    /** The incarnation that answered last; null before the first answer. */
    volatile String incarnation;

    MembershipPoller(ServerProcess server, int port, History history, int intervalMs) {
        this.server = server;
        this.port = port;
        this.history = history;
        this.intervalMs = intervalMs;
        Thread thread = new Thread(this::poll, "watch-" + server.slot.number());
        thread.setDaemon(true);
        thread.start();
    }

    /** Records further changes in {@code next}, beginning with the whole current view. */
    void setHistory(History next) {
        history = next;
        digest = "";
    }

    void stop() {
        stopped = true;
    }

    private void poll() {
        try {
            while (!stopped) {
                if (!server.ready || server.paused) {
                    Thread.sleep(intervalMs);
                    continue;
                }
                try (AdminClient client =
                        new AdminClient(
                                new InetSocketAddress(InetAddress.getLoopbackAddress(), port),
                                "drill",
                                DRILL_KEYS)) {
                    for (int i = 0;
                            i < REQUESTS_PER_CONNECTION
                                    && !stopped
                                    && server.ready
                                    && !server.paused;
                            i++) {
                        recordChange(JSON.readTree(client.request("view")));
                        Thread.sleep(intervalMs);
                    }
                } catch (IOException e) {
                    Thread.sleep(intervalMs); // the server was killed or paused meanwhile
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void recordChange(JsonNode view) {
        Map<String, String> newStates = new TreeMap<>();
        String ownIncarnation = null;
        for (JsonNode member : view.get("members")) {
            newStates.put(member.get("start").asText(), member.get("state").asText());
            if (member.get("self").asBoolean()) {
                ownIncarnation = member.get("start").asText();
            }
        }
        String newDigest = view.get("digest").asText();
        if (newStates.equals(states)
                && newDigest.equals(digest)
                && ownIncarnation.equals(incarnation)) {
            return;
        }
        states = newStates;
        digest = newDigest;
        incarnation = ownIncarnation;
        history.addView(server.slot.number(), ownIncarnation, newDigest, newStates);
    }
}
