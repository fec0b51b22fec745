package ochretiller.sim;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import ochretiller.settings.MalformedException;

/**
 * Hosts one instance of the decisions for each server that the simulator names, and answers its
 * batches.
 */
public final class SimulatorHost {
    private final Map<String, SimulatedServer> instances = new HashMap<>();
    private final StringBuilder reply = new StringBuilder();
    private Duration clock = Duration.ZERO;

    private SimulatorHost() {}

    /** Serves batches until the input ends; returns the exit code. */
    public static int serve(InputStream in, OutputStream out, PrintStream errors)
            throws IOException {
        BufferedReader lines =
                new BufferedReader(new InputStreamReader(in, StandardCharsets.UTF_8), 1 << 16);
        SimulatorHost host = new SimulatorHost();
        for (String line = lines.readLine(); line != null; line = lines.readLine()) {
            try {
                host.read(line);
            } catch (MalformedException e) {
                errors.println("ochretiller: malformed line: " + e.getMessage());
                return 1;
            }
            if (line.equals("commit")) {
                out.write(host.reply.append("done\n").toString().getBytes(StandardCharsets.UTF_8));
                out.flush();
                host.reply.setLength(0);
            }
        }
        return 0;
    }

    private void read(String line) {
        int end = line.indexOf('\t');
        String name = end < 0 ? line : line.substring(0, end);
        switch (name) {
            case "tick" -> clock = Duration.ofNanos(WireFields.parse(line).wholeNumber("tsNs"));
            case "enlist" -> {
                WireFields fields = WireFields.parse(line);
                String id = fields.text("serverId");
                guarded(id, () -> instances.put(id, new SimulatedServer(id, fields, clock, reply)));
            }
            case "shutdown" -> instances.remove(WireFields.parse(line).text("serverId"));
            case "arrival",
                    "run_over",
                    "abandoned",
                    "blocked",
                    "call_ended",
                    "drain",
                    "timeout_fired" -> {
                WireFields fields = WireFields.parse(line);
                String id = fields.text("serverId");
                SimulatedServer instance = instances.get(id);
                if (instance == null) {
                    throw new MalformedException(name + " for an unknown server '" + id + "'");
                }
                guarded(id, () -> instance.handleEvent(name, fields, clock));
            }
            default -> {} // an empty line, the batch's end, or a message of a later wire
        }
    }

    /**
     * A fault of the decisions is reported for its instance, so that the day stops with its text.
     */
    private void guarded(String id, Runnable work) {
        try {
            work.run();
        } catch (MalformedException e) {
            throw e;
        } catch (RuntimeException e) {
            StackTraceElement[] trace = e.getStackTrace();
            String text = e + (trace.length > 0 ? " at " + trace[0] : "");
            reply.append("bug\tserverId=")
                    .append(id)
                    .append("\tnoteText=")
                    .append(text.replaceAll("\\s", " "))
                    .append('\n');
        }
    }
}
