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
 * Hosts the simulator's servers, and answers each batch of events with the actions that the servers
 * decide on.
 */
public final class SimulatorHost {
    private static final int INPUT_BUFFER_CHARS = 1 << 16;
    private static final int EXIT_OK = 0;
    private static final int EXIT_MALFORMED = 1;
    private static final String END_OF_BATCH = "commit";
    private static final String END_OF_REPLY = "done\n";

    private final Map<String, SimulatedServer> servers = new HashMap<>();
    private final StringBuilder reply = new StringBuilder();
    private Duration time = Duration.ZERO;

    private SimulatorHost() {}

    /**
     * Serves batches until the input ends or a line is malformed.
     *
     * @param errors receives one line that describes the malformed line
     * @return the exit code, 0 at the end of the input or 1 after a malformed line
     * @throws IOException if the input cannot be read or a reply cannot be written
     */
    public static int serve(InputStream in, OutputStream out, PrintStream errors)
            throws IOException {
        BufferedReader lines =
                new BufferedReader(
                        new InputStreamReader(in, StandardCharsets.UTF_8), INPUT_BUFFER_CHARS);
        SimulatorHost host = new SimulatorHost();
        for (String line = lines.readLine(); line != null; line = lines.readLine()) {
            try {
                host.handle(line);
            } catch (MalformedException e) {
                errors.println("ochretiller: malformed line: " + e.getMessage());
                return EXIT_MALFORMED;
            }
            if (line.equals(END_OF_BATCH)) {
                host.writeReply(out);
            }
        }
        return EXIT_OK;
    }

    private void writeReply(OutputStream out) throws IOException {
        out.write(reply.append(END_OF_REPLY).toString().getBytes(StandardCharsets.UTF_8));
        out.flush();
        reply.setLength(0);
    }

    private void handle(String line) {
        int end = line.indexOf('\t');
        String name = end < 0 ? line : line.substring(0, end);
        switch (name) {
            case "tick" -> time = Duration.ofNanos(WireFields.parse(line).wholeNumber("tsNs"));
            case "enlist" -> startServer(WireFields.parse(line));
            case "shutdown" -> servers.remove(serverId(WireFields.parse(line)));
            case "arrival",
                    "run_over",
                    "abandoned",
                    "blocked",
                    "call_ended",
                    "drain",
                    "timeout_fired" ->
                    handleEvent(name, WireFields.parse(line));
            default -> {
                // an empty line, the end of a batch, or a message of a later protocol version
            }
        }
    }

    private static String serverId(WireFields fields) {
        return fields.text("serverId");
    }

    private void startServer(WireFields fields) {
        String id = serverId(fields);
        runGuarded(id, () -> servers.put(id, new SimulatedServer(id, fields, time, reply)));
    }

    private void handleEvent(String event, WireFields fields) {
        String id = serverId(fields);
        SimulatedServer server = servers.get(id);
        if (server == null) {
            throw new MalformedException(event + " for an unknown server '" + id + "'");
        }
        runGuarded(id, () -> server.handleEvent(event, fields, time));
    }

    /**
     * Runs work for a server, and writes an unexpected exception as that server's bug: the
     * simulator stops at it and shows its text.
     */
    private void runGuarded(String id, Runnable work) {
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
