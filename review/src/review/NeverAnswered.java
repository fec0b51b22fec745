package review;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/** While the work of a server hangs, gateways give up some tries; a later request is not answered. */
final class NeverAnswered {
    private static final long HANG_FROM_MILLIS = 250;
    private static final long HANG_MILLIS = 9_000;
    private static final long DUE_MILLIS = 4_300;

    /** 100 ms by the brief, and 50 ms more on sockets. */
    private static final long SLACK_MILLIS = 150;

    private static int lastRid;

    private NeverAnswered() {}

    private static World.Try booking(String name, char token) {
        return new World.Try(
                name,
                String.format("9b1f03aa5c7e%04x", ++lastRid),
                "booking-confirm",
                ("" + token).repeat(32),
                ("booking " + token).getBytes());
    }

    public static void main(String[] words) {
        Case.main(words, NeverAnswered::run);
    }

    private static int run(Record record, boolean trouble) throws Exception {
        World world = new World();
        try (Lab lab = new Lab();
                Processor processor = new Processor(world, record, 400, 0)) {
            int port = Lab.freePort();
            String listen = "127.0.0.1:" + port;
            Process server = lab.startServer("n1", config(listen, processor.port()), null, listen);
            Lab.awaitReady(port, server, world, record);
            List<Gateway> gateways = new ArrayList<>();
            gateways.add(null); // they are numbered from 1
            for (int i = 1; i <= 4; i++) {
                gateways.add(new Gateway(i, port, world, record, processor::onOver));
            }
            Thread.sleep(300);
            long start = System.nanoTime();
            for (int i = 0; i < 6; i++) {
                World.Try quote =
                        new World.Try("quote " + (i + 1), String.format("9b1f03aa5c7e%04x", ++lastRid),
                                "job-quote", null, ("quote " + i).getBytes());
                gateways.get(4).send(quote, 29);
            }
            if (trouble) {
                Case.at(start, HANG_FROM_MILLIS);
                processor.setHanging(true);
            }
            Case.at(start, 350);
            gateways.get(1).send(booking("booking a, try 1", 'a'), 29);
            Case.at(start, 450);
            gateways.get(2).send(booking("booking a, try 2", 'a'), 29);
            Case.at(start, 550);
            gateways.get(3).send(booking("booking a, try 3", 'a'), 29);
            Case.at(start, 750);
            gateways.get(1).abortLast();
            Case.at(start, 850);
            gateways.get(3).abortLast();
            Case.at(start, 1_150);
            gateways.get(1).send(booking("booking b, try 1", 'b'), 29);
            Case.at(start, 1_200);
            gateways.get(2).send(booking("booking b, try 2", 'b'), 29);
            Case.at(start, 1_250);
            gateways.get(3).send(booking("booking b, try 3", 'b'), 29);
            Case.at(start, 1_350);
            gateways.get(1).abortLast();
            Case.at(start, 1_450);
            gateways.get(3).abortLast();
            Case.at(start, 2_800);
            long sent = System.nanoTime();
            CompletableFuture<Gateway.Answer> last =
                    gateways.get(4).send(booking("booking c", 'c'), 29);
            boolean isInTime = true;
            try {
                last.get(DUE_MILLIS + SLACK_MILLIS, TimeUnit.MILLISECONDS);
            } catch (TimeoutException e) {
                isInTime = false;
                record.add("booking c has no answer " + (System.nanoTime() - sent) / 1_000_000
                        + " ms after it was written; it was due within " + DUE_MILLIS + " ms");
            }
            if (trouble) {
                Case.at(start, HANG_FROM_MILLIS + HANG_MILLIS);
                processor.setHanging(false);
            }
            Thread.sleep(2_000);
            lab.copyLog("n1", record);
            if (!server.isAlive()) {
                return 2;
            }
            return isInTime ? 0 : 1;
        }
    }

    private static String config(String listen, int processor) throws Exception {
        return """
            {"name":"n1","listen":"%s","processor":"127.0.0.1:%d","roster":"127.0.0.1:%d",
             "seed":"8c1f30d27a5be964","stop_ms":3200,"limits":{"cores":1.0,"memory_mb":192,"sockets":512},
             "settings":{"classes":[
              {"name":"job-quote","effect":"pure","aimNs":1800000000,"giveUpNs":5400000000,"importance":2.0,"lateValue":0.0,"windowNs":5000000000},
              {"name":"booking-confirm","effect":"token","aimNs":1800000000,"giveUpNs":4300000000,"importance":5.0,"lateValue":0.0,"windowNs":13023000000}],
             "familyInfo":{"cpus":6,"memoryKb":96744.0,"keyKb":61.5,"runFactor":8.0,"callsByClass":[false,false],"degradedWorth":[0.0,0.0],
              "meters":["core_use","on_cores","heap_share","links"],"idleNs":30000000000,"halt":"abort","advert":"threshold","heededNs":1000000000,"callers":5,
              "freshNs":0,"tellsGone":true,"passesDeadline":false},
             "permissions":{"retryAfter":true,"maxRetryAfterNs":1000000000},
             "guarantees":{"stopSendingWithinNs":2500000000,"answerSlackNs":100000000,"fallMultiple":5.0,"fallNs":3000000000,
              "coldShare":0.2,"coldNs":18000000000}}}
            """
                .formatted(listen, processor, Lab.freePort());
    }
}
