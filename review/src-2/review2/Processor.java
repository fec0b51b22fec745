package review2;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A processor after the protocol page: it takes commands on the newest link, numbers its notices,
 * keeps them for the next link, and lets a run wait for its calls. Its work can be made to hang:
 * runs make no progress meanwhile, but commands are read and gauges answered.
 */
final class Processor {
    private static final int STEP_MS = 5;
    private final ServerSocket socket;
    private final long startedAt = Harness.millis();
    private final Map<String, Run> runs = new LinkedHashMap<>();
    private final List<String> notices = new ArrayList<>();
    /** Work of a run in ms of real time. */
    volatile long workMs = 200;
    /** Bodies of the calls that a run of an operation makes, one after another. */
    volatile Map<String, List<String>> calls = Map.of();
    volatile boolean hangs;
    /** Ids of all runs that were begun, in order; one a begin that was carried out. */
    final List<String> begun = new ArrayList<>();
    /** Replies that runs got, as "ID CALL REPLY". */
    final List<String> replies = new ArrayList<>();
    private Wire link;

    private static final class Run {
        final String rid;
        final List<String> callBodies;
        int callsMade;
        boolean waits;
        boolean interrupted;
        long leftMs;

        Run(String rid, List<String> callBodies, long leftMs) {
            this.rid = rid;
            this.callBodies = callBodies;
            this.leftMs = leftMs;
        }
    }

    Processor() throws IOException {
        socket = new ServerSocket(0, 50, InetAddress.getByName(Harness.HOST));
        Harness.daemon(this::accept);
        Harness.daemon(this::work);
    }

    int port() {
        return socket.getLocalPort();
    }

    private void accept() {
        while (true) {
            try {
                Wire next = new Wire(socket.accept());
                Harness.daemon(() -> serve(next));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Wire from) {
        try {
            for (String line = from.line(); line != null; line = from.line()) {
                command(from, line.split(" "));
            }
        } catch (IOException e) {
            Harness.record("processor: a link broke");
        }
    }

    private void command(Wire from, String[] words) throws IOException {
        switch (words[0]) {
            case "hello" -> greet(from, Integer.parseInt(words[1]));
            case "usage" -> from.send("used " + words[1] + " 1.0 2 0.2 4\r\n");
            case "trial" -> from.send("tried " + words[1] + " complete\r\n");
            case "begin" -> begin(words[1], words[2], from.body(Integer.parseInt(words[3])));
            case "answer" -> answer(words[1], from.body(Integer.parseInt(words[2])));
            case "interrupt" -> interrupt(words[1]);
            default -> throw new IOException("not a command: " + words[0]);
        }
    }

    private synchronized void greet(Wire from, int lastRead) throws IOException {
        link = from;
        from.send("hi hot " + (3_600_000 + Harness.millis() - startedAt) + "\r\n");
        for (int i = lastRead; i < notices.size(); i++) {
            from.send(notices.get(i));
        }
    }

    private synchronized void begin(String rid, String operation, String body) throws IOException {
        Harness.Request request = Harness.REQUESTS.get(rid);
        if (request == null
                || !request.operation.equals(operation)
                || !request.body.equals(body)) {
            Harness.record("processor rejects begin " + rid);
            link.send("reject begin " + rid + "\r\n");
            return;
        }
        if (runs.containsKey(rid)) {
            return;
        }
        if (request.isOver()) {
            Harness.record("processor: begin " + rid + " of a request that is over");
            notice("complete", rid + " unknown 0\r\n");
            return;
        }
        Harness.record("processor runs " + rid + " " + request.label);
        begun.add(rid);
        runs.put(rid, new Run(rid, calls.getOrDefault(operation, List.of()), workMs));
    }

    private synchronized void answer(String rid, String reply) {
        Run run = runs.get(rid);
        if (run == null || !run.waits) {
            return;
        }
        Harness.record("processor: call " + run.callsMade + " of " + rid + " gets " + reply);
        replies.add(rid + " " + run.callsMade + " " + reply);
        run.waits = false;
    }

    private synchronized void interrupt(String rid) {
        Run run = runs.get(rid);
        if (run != null) {
            run.interrupted = true;
        }
    }

    private void notice(String verb, String rest) {
        notices.add(verb + " " + (notices.size() + 1) + " " + rest);
        try {
            link.send(notices.get(notices.size() - 1));
        } catch (IOException e) {
            // it is sent again over the next link
        }
    }

    private void work() {
        while (true) {
            try {
                Thread.sleep(STEP_MS);
            } catch (InterruptedException e) {
                return;
            }
            if (!hangs) {
                step();
            }
        }
    }

    private synchronized void step() {
        for (Run run : List.copyOf(runs.values())) {
            Harness.Request request = Harness.REQUESTS.get(run.rid);
            if (run.interrupted) {
                runs.remove(run.rid);
                notice("complete", run.rid + " cancelled " + workMs + "\r\n");
            } else if (run.waits) {
                if (request.isOver()) {
                    runs.remove(run.rid);
                    notice("complete", run.rid + " cancelled " + workMs + "\r\n");
                }
            } else if (run.callsMade < run.callBodies.size()) {
                String body = run.callBodies.get(run.callsMade);
                run.callsMade++;
                run.waits = true;
                notice("ask", run.rid + " " + body.length() + "\r\n" + body + "\r\n");
            } else {
                run.leftMs -= STEP_MS;
                if (run.leftMs <= 0) {
                    runs.remove(run.rid);
                    String result = "result of " + run.rid;
                    Harness.record("processor: run " + run.rid + " is complete");
                    notice(
                            "complete",
                            run.rid + " complete " + workMs + " " + result.length() + "\r\n"
                                    + result + "\r\n");
                }
            }
        }
    }
}
