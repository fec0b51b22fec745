package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * A processor as the protocol page describes it. Each run takes a given time, and may make calls
 * before its end. Notices are numbered, kept, and told again behind `hello`.
 */
final class Processor implements AutoCloseable {
    /** One run. */
    static final class Run {
        final World.Try of;
        final long startedNanos = System.nanoTime();
        boolean isEnded;
        int callsLeft;
        boolean waitsForCall;
        byte[] lastReply = {};

        Run(World.Try of, int calls) {
            this.of = of;
            this.callsLeft = calls;
        }
    }

    private static final int CORES = 6;

    private final World world;
    private final Record record;
    private final ServerSocket listener;
    private final ScheduledExecutorService timer = Executors.newScheduledThreadPool(2, Processor::daemon);
    private final long bornNanos = System.nanoTime();
    private final Map<String, Run> runs = new HashMap<>();
    private final List<Run> begun = new ArrayList<>();
    private final List<Run> stopped = new ArrayList<>();
    private final List<byte[]> notices = new ArrayList<>();
    private final int calls;
    private final long workMillis;
    private Socket link;
    private boolean hangs;

    /**
     * Starts to listen.
     *
     * @param workMillis how long each run computes before its first call or its end
     * @param calls how many calls each run makes
     */
    Processor(World world, Record record, long workMillis, int calls) throws IOException {
        this.world = world;
        this.record = record;
        this.workMillis = workMillis;
        this.calls = calls;
        listener = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
        daemon(this::accept).start();
    }

    static Thread daemon(Runnable work) {
        Thread thread = new Thread(work);
        thread.setDaemon(true);
        return thread;
    }

    int port() {
        return listener.getLocalPort();
    }

    synchronized List<Run> begun() {
        return List.copyOf(begun);
    }

    private void accept() {
        try {
            while (true) {
                Socket next = listener.accept();
                next.setTcpNoDelay(true);
                daemon(() -> serve(next)).start();
            }
        } catch (IOException e) {
            // closed
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            for (String line = Lines.read(in); line != null; line = Lines.read(in)) {
                String[] words = line.split(" ");
                byte[] body =
                        words[0].equals("begin")
                                ? Lines.body(in, Integer.parseInt(words[3]))
                                : words[0].equals("answer")
                                        ? Lines.body(in, Integer.parseInt(words[2]))
                                        : null;
                onCommand(socket, words, body);
            }
        } catch (IOException e) {
            // the link broke
        }
    }

    private synchronized void onCommand(Socket from, String[] words, byte[] body)
            throws IOException {
        while (hangs) {
            try {
                wait(); // commands lie unread
            } catch (InterruptedException e) {
                return;
            }
        }
        if (words[0].equals("hello")) {
            if (link != null && link != from) {
                link.close();
            }
            link = from;
            say("hi hot " + (30_000 + millisSince(bornNanos)));
            for (byte[] notice : notices.subList(Integer.parseInt(words[1]), notices.size())) {
                write(notice);
            }
            return;
        }
        if (from != link) {
            return;
        }
        switch (words[0]) {
            case "begin" -> begin(words[1], words[2], body);
            case "answer" -> answer(words[1], body);
            case "interrupt" -> interrupt(words[1]);
            case "usage" -> say("used " + words[1] + gauges());
            case "trial" -> say("tried " + words[1] + " complete");
            default -> from.close();
        }
    }

    /** Returns the gauges: each run uses a core while it does not wait at a call. */
    private String gauges() {
        long busy = begun.stream().filter(run -> !run.isEnded && !run.waitsForCall).count();
        return " " + Math.min(1, busy / (double) CORES) + " " + busy + " 0.2 8";
    }

    private static long millisSince(long nanos) {
        return (System.nanoTime() - nanos) / 1_000_000;
    }

    private void begin(String rid, String operation, byte[] body) {
        if (!world.isWritten(rid, operation, body)) {
            record.add("processor: begin of unknown " + rid + ", rejected");
            say("reject begin " + rid);
            return;
        }
        World.Try of = world.find(rid);
        if (runs.containsKey(rid)) {
            return; // runs already
        }
        if (of.isOver) {
            record.add("processor: begin " + of.name + ", whose request is over: unknown");
            notice(" " + rid + " unknown 0", null);
            return;
        }
        Run run = new Run(of, calls);
        runs.put(rid, run);
        begun.add(run);
        record.add("processor: RUNS " + of.name + " (token " + of.token + ")");
        timer.schedule(() -> proceed(run), workMillis, TimeUnit.MILLISECONDS);
    }

    /** Lets the processor stand still, so that it reads and says nothing, or go on again. */
    synchronized void setHanging(boolean hanging) {
        record.add("processor: " + (hanging ? "TROUBLE: it hangs" : "it goes on"));
        hangs = hanging;
        if (!hanging) {
            stopped.forEach(run -> timer.schedule(() -> proceed(run), workMillis, TimeUnit.MILLISECONDS));
            stopped.clear();
            notifyAll();
        }
    }

    private synchronized void proceed(Run run) {
        if (run.isEnded) {
            return;
        }
        if (hangs) {
            stopped.add(run);
            return;
        }
        if (run.callsLeft == 0) {
            run.isEnded = true;
            record.add("processor: end of " + run.of.name);
            byte[] result = ("result of " + run.of.rid).getBytes();
            notice(" " + run.of.rid + " complete " + millisSince(run.startedNanos), result);
        } else if (run.of.isOver) {
            end(run, "cancelled");
        } else {
            run.callsLeft--;
            run.waitsForCall = true;
            byte[] call = ("call " + run.callsLeft + " of " + run.of.rid).getBytes();
            notices.add(
                    Lines.message(
                            "ask " + (notices.size() + 1) + " " + run.of.rid + " " + call.length,
                            call));
            record.add("processor: " + run.of.name + " asks for a call");
            write(notices.get(notices.size() - 1));
        }
    }

    private void end(Run run, String how) {
        run.isEnded = true;
        record.add("processor: end of " + run.of.name + ": " + how);
        notice(" " + run.of.rid + " " + how + " " + millisSince(run.startedNanos), null);
    }

    private void answer(String rid, byte[] reply) {
        Run run = runs.get(rid);
        if (run == null || !run.waitsForCall) {
            say("reject answer " + rid);
            return;
        }
        run.waitsForCall = false;
        run.lastReply = reply;
        record.add("processor: " + run.of.name + " gets the reply '" + new String(reply) + "'");
        timer.schedule(() -> proceed(run), 20, TimeUnit.MILLISECONDS);
    }

    private void interrupt(String rid) {
        Run run = runs.get(rid);
        if (run == null) {
            say("reject interrupt " + rid);
        } else if (!run.isEnded) {
            end(run, "cancelled");
        }
    }

    /** Called when a request is over: a run that waits at a call ends. */
    synchronized void onOver(World.Try of) {
        Run run = runs.get(of.rid);
        if (run != null && !run.isEnded && run.waitsForCall) {
            end(run, "cancelled");
        }
    }

    private void notice(String rest, byte[] body) {
        byte[] content = body == null ? new byte[0] : body;
        notices.add(
                Lines.message("complete " + (notices.size() + 1) + rest + " " + content.length, content));
        write(notices.get(notices.size() - 1));
    }

    private void say(String line) {
        write(Lines.message(line, null));
    }

    private void write(byte[] bytes) {
        if (link == null) {
            return;
        }
        try {
            link.getOutputStream().write(bytes);
        } catch (IOException e) {
            link = null; // told again behind the next hello
        }
    }

    @Override
    public void close() throws IOException {
        listener.close();
        timer.shutdownNow();
    }
}
