package review;

import java.nio.file.Path;
import java.util.concurrent.TimeUnit;

/** A reply `WAIT` arrives twice, and a call that runs is made again. */
final class CallTwice {
    /** The least time after which Linux sends a lost TCP segment again. */
    private static final long COPY_AFTER_MILLIS = 200;

    private CallTwice() {}

    public static void main(String[] words) {
        Case.main(words, CallTwice::run);
    }

    private static int run(Record record, boolean trouble) throws Exception {
        World world = new World();
        try (Lab lab = new Lab();
                Processor processor = new Processor(world, record, 100, 1);
                RecordsService records =
                        new RecordsService(world, record, 300, trouble ? COPY_AFTER_MILLIS : -1)) {
            int port = Lab.freePort();
            String listen = "127.0.0.1:" + port;
            Process server =
                    lab.startServer("n1", config(listen, processor.port(), records.port()), null, listen);
            Lab.awaitReady(port, server, world, record);
            Gateway gateway = new Gateway(1, port, world, record, processor::onOver);
            World.Try order =
                    new World.Try("order", "9b1f03aa5c7e2d01", "place-order",
                            "5c0f6e1a2b3d4c59a8b7c6d5e4f30211", "order 4711".getBytes());
            gateway.send(order, 24.5).get(8, TimeUnit.SECONDS);
            Thread.sleep(1_000);
            lab.copyLog("n1", record);
            int effects = records.effects().size();
            record.add("calls that had their effect: " + effects);
            if (!server.isAlive() || effects == 0) {
                return 2;
            }
            return effects > 1 ? 1 : 0;
        }
    }

    private static String config(String listen, int processor, int records) throws Exception {
        return """
            {"name":"n1","listen":"%s","processor":"127.0.0.1:%d","records":"127.0.0.1:%d","roster":"127.0.0.1:%d",
             "seed":"8c1f30d27a5be964","stop_ms":3200,"limits":{"cores":1.0,"memory_mb":192,"sockets":512},
             "settings":{"classes":[
              {"name":"stock-price","effect":"pure","aimNs":1400000000,"giveUpNs":3400000000,"importance":1.0,"lateValue":0.0,"windowNs":5000000000},
              {"name":"place-order","effect":"token","aimNs":2300000000,"giveUpNs":5800000000,"importance":3.0,"lateValue":0.2,"windowNs":17364000000}],
             "familyInfo":{"cpus":6,"memoryKb":96744.0,"keyKb":184.5,"runFactor":16.0,"callsByClass":[true,true],"degradedWorth":[0.0,0.0],
              "below":"shared","callsOut":7.5,"shareSpanNs":5000000000,"staysForNs":200000000,
              "meters":["core_use","on_cores","heap_share","links"],"idleNs":15000000000,"halt":"abort","advert":"window","heededNs":1000000000,"callers":3,
              "freshNs":0,"tellsGone":true,"passesDeadline":false},
             "permissions":{"retryAfter":true,"maxRetryAfterNs":1000000000},
             "guarantees":{"stopSendingWithinNs":2500000000,"answerSlackNs":100000000,"fallMultiple":8.0,"fallNs":1500000000,
              "coldShare":0.27,"coldNs":16000000000}}}
            """
                .formatted(listen, processor, records, Lab.freePort());
    }
}
