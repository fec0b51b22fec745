package review;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicInteger;

/** Two gateways try one request again and again while a worker is silent: it is run twice. */
final class SilentTwice {
    private static final String TOKEN = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211";
    private static final byte[] BODY = "return 4711".getBytes();
    private static final long SILENT_MILLIS = 6_000;

    /** The client tries once more after this time, by another gateway. */
    private static final long CLIENT_RETRY_MILLIS = 700;

    /** A hasty gateway waits this long for an answer before it tries again. */
    private static final long PATIENCE_MILLIS = 450;

    private SilentTwice() {}

    public static void main(String[] words) {
        Case.main(words, SilentTwice::run);
    }

    private static int run(Record record, boolean trouble) throws Exception {
        World world = new World();
        try (Lab lab = new Lab();
                Processor processor = new Processor(world, record, 200, 0)) {
            int port = Lab.freePort();
            String listen = "127.0.0.1:" + port;
            Process server = lab.startServer("n1", config(listen, processor.port()), null, listen);
            Lab.awaitReady(port, server, world, record);
            AtomicInteger tries = new AtomicInteger();
            Gateway first = new Gateway(1, port, world, record, processor::onOver);
            Gateway second = new Gateway(2, port, world, record, processor::onOver);
            long start = System.nanoTime();
            if (trouble) {
                processor.setHanging(true);
            }
            Thread client = Processor.daemon(() -> tryUntilServed(first, tries, record));
            client.start();
            Case.at(start, CLIENT_RETRY_MILLIS);
            Thread retry = Processor.daemon(() -> tryUntilServed(second, tries, record));
            retry.start();
            if (trouble) {
                Case.at(start, SILENT_MILLIS);
                processor.setHanging(false);
            }
            client.join(9_000);
            retry.join(9_000);
            Thread.sleep(1_000);
            lab.copyLog("n1", record);
            int runs = processor.begun().size();
            record.add("tries: " + tries.get() + ", runs of token " + TOKEN + ": " + runs);
            if (!server.isAlive() || runs == 0) {
                return 2;
            }
            return runs > 1 ? 1 : 0;
        }
    }

    /** Tries again whenever an answer is late or no result, as a hasty gateway with no cap does. */
    private static void tryUntilServed(Gateway gateway, AtomicInteger tries, Record record) {
        try {
            boolean isServed = false;
            while (!isServed) {
                int number = tries.incrementAndGet();
                World.Try attempt =
                        new World.Try("try " + number, String.format("9b1f03aa5c7e2d%02x", number), "apri-reso", TOKEN, BODY);
                CompletableFuture<Gateway.Answer> answer = gateway.send(attempt, 46);
                try {
                    isServed = answer.get(PATIENCE_MILLIS, TimeUnit.MILLISECONDS).isResult();
                } catch (TimeoutException e) {
                    gateway.giveUpLast();
                }
            }
        } catch (Exception e) {
            record.add("gateway " + gateway.number + " ends: " + e);
        }
    }

    private static String config(String listen, int processor) throws Exception {
        return """
            {"name":"n1","listen":"%s","processor":"127.0.0.1:%d","roster":"127.0.0.1:%d",
             "seed":"8c1f30d27a5be964","stop_ms":3200,"limits":{"cores":1.0,"memory_mb":192,"sockets":512},
             "settings":{"classes":[
              {"name":"copertura","effect":"pure","aimNs":1400000000,"giveUpNs":4600000000,"importance":2.0,"lateValue":0.2,"windowNs":5000000000},
              {"name":"apri-reso","effect":"token","aimNs":690000000,"giveUpNs":1700000000,"importance":5.0,"lateValue":0.2,"windowNs":10000000000}],
             "familyInfo":{"cpus":6,"memoryKb":33000.0,"keyKb":41.0,"runFactor":8.0,"callsByClass":[false,false],"degradedWorth":[0.0,0.0],
              "meters":["core_use","on_cores","heap_share","links"],"idleNs":30000000000,"halt":"silent","advert":"silent","heededNs":1000000000,"callers":5,
              "freshNs":0,"tellsGone":false,"passesDeadline":false},
             "permissions":{"retryAfter":true,"maxRetryAfterNs":1000000000},
             "guarantees":{"stopSendingWithinNs":2500000000,"answerSlackNs":100000000,"fallMultiple":5.0,"fallNs":3000000000,
              "coldShare":0.27,"coldNs":14000000000}}}
            """
                .formatted(listen, processor, Lab.freePort());
    }
}
