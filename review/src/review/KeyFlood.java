package review;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/** New keys arrive faster than they age, at a server that remembers results: its process ends. */
final class KeyFlood {
    private static final int GATEWAYS = 4;
    private static final int CONNECTIONS = 16;
    private static final int OPEN_PER_CONNECTION = 20;
    private static final long FLOOD_MILLIS = 8_000;
    private static final long CLIENT_TIMEOUT_MILLIS = 4_300;

    /** Bookings that each connection has open at once without the flood. */
    private static final int CALM_OPEN_PER_CONNECTION = 1;

    private static final long CALM_PAUSE_MILLIS = 1_000;

    private KeyFlood() {}

    public static void main(String[] words) {
        Case.main(words, KeyFlood::run);
    }

    private static int run(Record record, boolean trouble) throws Exception {
        World world = new World();
        try (Lab lab = new Lab();
                Processor processor = new Processor(world, record, 30, 0)) {
            int port = Lab.freePort();
            String listen = "127.0.0.1:" + port;
            Path operator = lab.folder.resolve("operator.json5");
            Files.writeString(
                    operator,
                    "{ remember: { folder: '" + lab.folder.resolve("store") + "', most_entries: 700 } }");
            Process server = lab.startServer("n1", config(listen, processor.port()), operator, listen);
            Lab.awaitReady(port, server, world, record);
            record.add(trouble ? "TROUBLE: keys pour in" : "keys come at a calm rate");
            Counts counts = new Counts();
            List<Thread> clients = new ArrayList<>();
            long end = System.nanoTime() + FLOOD_MILLIS * 1_000_000;
            int open = trouble ? OPEN_PER_CONNECTION : CALM_OPEN_PER_CONNECTION;
            for (int i = 0; i < CONNECTIONS; i++) {
                Gateway gateway = new Gateway(i % GATEWAYS + 1, port, world, record, processor::onOver);
                for (int j = 0; j < open; j++) {
                    int client = i * OPEN_PER_CONNECTION + j;
                    Thread thread =
                            Processor.daemon(
                                    () -> ask(gateway, client, end, trouble, counts, record));
                    clients.add(thread);
                    thread.start();
                }
            }
            for (Thread client : clients) {
                client.join(FLOOD_MILLIS + 10_000);
            }
            server.waitFor(2, TimeUnit.SECONDS);
            lab.copyLog("n1", record);
            record.add("answered with a result: " + counts.results + ", refused: " + counts.refusals
                    + ", failed: " + counts.errors + ", without an answer: " + counts.lost);
            record.add(server.isAlive() ? "the server runs" : "the server has ended with exit code " + server.exitValue());
            if (counts.results == 0) {
                return 2;
            }
            return server.isAlive() && counts.lost == 0 ? 0 : 1;
        }
    }

    /** How the bookings were answered. */
    private static final class Counts {
        int results;
        int refusals;
        int errors;
        int lost;

        synchronized void add(Gateway.Answer answer) {
            results += answer.isResult() ? 1 : 0;
            refusals += answer.isRefusal() ? 1 : 0;
            errors += !answer.isResult() && !answer.isRefusal() && answer.code() != 0 ? 1 : 0;
            lost += !answer.isResult() && answer.code() == 0 ? 1 : 0;
        }

        synchronized void addLost() {
            lost++;
        }
    }

    private static void ask(
            Gateway gateway, int client, long end, boolean trouble, Counts counts, Record record) {
        for (int number = 0; System.nanoTime() < end && !gateway.isClosed(); number++) {
            World.Try booking =
                    new World.Try(
                            "booking " + client + "/" + number,
                            String.format("9b1f%04x%08x", client, number),
                            "booking-confirm",
                            String.format("5c0f6e1a2b3d4c59%08x%08x", client, number),
                            ("booking " + client + "/" + number).getBytes());
            try {
                CompletableFuture<Gateway.Answer> answer = gateway.send(booking, 14);
                Gateway.Answer got = answer.get(CLIENT_TIMEOUT_MILLIS + 150, TimeUnit.MILLISECONDS);
                counts.add(got);
                Thread.sleep(!trouble ? CALM_PAUSE_MILLIS : got.isRefusal() ? 100 : 0);
            } catch (TimeoutException e) {
                record.add(booking.name + " has NO ANSWER in time");
                counts.addLost();
            } catch (Exception e) {
                return;
            }
        }
    }

    private static String config(String listen, int processor) throws Exception {
        return """
            {"name":"n1","listen":"%s","processor":"127.0.0.1:%d","roster":"127.0.0.1:%d",
             "seed":"8c1f30d27a5be964","stop_ms":3200,"limits":{"cores":1.0,"memory_mb":192,"sockets":512},
             "settings":{"classes":[
              {"name":"job-quote","effect":"pure","aimNs":1800000000,"giveUpNs":5400000000,"importance":2.0,"lateValue":0.0,"windowNs":5000000000},
              {"name":"booking-confirm","effect":"token","aimNs":1800000000,"giveUpNs":4300000000,"importance":5.0,"lateValue":0.0,"windowNs":13023000000}],
             "familyInfo":{"cpus":6,"memoryKb":96744.0,"keyKb":41.0,"runFactor":8.0,"callsByClass":[false,false],"degradedWorth":[0.0,0.0],
              "meters":["core_use","on_cores","heap_share","links"],"idleNs":30000000000,"halt":"abort","advert":"threshold","heededNs":1000000000,"callers":5,
              "freshNs":0,"tellsGone":true,"passesDeadline":false},
             "permissions":{"retryAfter":true,"maxRetryAfterNs":1000000000},
             "guarantees":{"stopSendingWithinNs":2500000000,"answerSlackNs":100000000,"fallMultiple":5.0,"fallNs":3000000000,
              "coldShare":0.2,"coldNs":18000000000}}}
            """
                .formatted(listen, processor, Lab.freePort());
    }
}
