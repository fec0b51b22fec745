package review;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/** A keyed request whose tries wait for one that never begins: two of them are run. */
final class TwoRuns {
    private static final String TOKEN = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211";
    private static final byte[] BODY = "booking 4711".getBytes();
    private static final long HANG_MILLIS = 6_400;

    private TwoRuns() {}

    private static World.Try attempt(int number) {
        return new World.Try(
                "try " + number,
                String.format("9b1f03aa5c7e2d%02x", number),
                "booking-confirm",
                TOKEN,
                BODY);
    }

    public static void main(String[] words) {
        Case.main(words, TwoRuns::run);
    }

    private static int run(Record record, boolean trouble) throws Exception {
        World world = new World();
        try (Lab lab = new Lab();
                Processor processor = new Processor(world, record, 200, 0)) {
            int port = Lab.freePort();
            String listen = "127.0.0.1:" + port;
            Process server = lab.startServer("n1", config(listen, processor.port()), null, listen);
            Lab.awaitReady(port, server, world, record);
            long start = System.nanoTime();
            if (trouble) {
                processor.setHanging(true);
            }
            Case.at(start, 50);
            Gateway first = new Gateway(1, port, world, record, processor::onOver);
            Gateway second = new Gateway(2, port, world, record, processor::onOver);
            Gateway third = new Gateway(3, port, world, record, processor::onOver);
            List<CompletableFuture<Gateway.Answer>> answers = new ArrayList<>();
            answers.add(first.send(attempt(1), 29));
            Case.at(start, 1_000);
            second.ping();
            third.ping();
            Case.at(start, 2_900);
            answers.add(second.send(attempt(2), 29));
            Case.at(start, 5_600);
            answers.add(first.send(attempt(3), 29));
            Case.at(start, 5_900);
            answers.add(third.send(attempt(4), 29));
            if (trouble) {
                Case.at(start, HANG_MILLIS);
                processor.setHanging(false);
            }
            for (CompletableFuture<Gateway.Answer> answer : answers) {
                answer.get(6, TimeUnit.SECONDS);
            }
            Thread.sleep(2_000);
            lab.copyLog("n1", record);
            int runs = processor.begun().size();
            record.add("runs of token " + TOKEN + ": " + runs);
            if (!server.isAlive() || runs == 0) {
                return 2;
            }
            return runs > 1 ? 1 : 0;
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
