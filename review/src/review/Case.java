package review;

import java.nio.file.Path;
import java.util.concurrent.TimeUnit;

/** What all cases share: the record, the exit code, and a limit on the time. */
final class Case {
    private static final long MAX_SECONDS = 110;

    /** The body of a case; returns 1 if the rule was broken, 0 if it held, 2 if it could not run. */
    interface Body {
        int run(Record record, boolean trouble) throws Exception;
    }

    private Case() {}

    /** Runs a case and exits with its code. {@code TROUBLE=0} leaves the disruption out. */
    static void main(String[] words, Body body) {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Processor.daemon(Case::exitAfterLimit).start();
        int code = 2;
        try (Record record = new Record(Path.of(words[0]))) {
            try {
                code = body.run(record, trouble);
            } catch (Exception e) {
                record.add("the case could not run: " + e);
                e.printStackTrace();
            }
            record.add("exit code " + code + (trouble ? "" : " (without the disruption)"));
        }
        System.exit(code);
    }

    private static void exitAfterLimit() {
        try {
            TimeUnit.SECONDS.sleep(MAX_SECONDS);
        } catch (InterruptedException e) {
            return;
        }
        System.err.println("the case took longer than " + MAX_SECONDS + " s");
        System.exit(2);
    }

    /** Waits until some milliseconds after a start have passed. */
    static void at(long startNanos, long millis) throws InterruptedException {
        long left = startNanos + millis * 1_000_000 - System.nanoTime();
        if (left > 0) {
            TimeUnit.NANOSECONDS.sleep(left);
        }
    }
}
