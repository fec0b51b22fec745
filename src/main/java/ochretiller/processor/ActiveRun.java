package ochretiller.processor;

import java.time.Duration;
import java.util.function.Consumer;

/** A run that was begun and is not known to be over; what a new link must say again. */
final class ActiveRun {
    /** How a run ended: the word for it, its time, and the result or no bytes. */
    record End(String how, Duration took, byte[] result) {}

    final String rid;
    final String operation;
    final byte[] body;

    /** It may run a second time where it is not known whether it did. */
    final boolean repeatable;

    final Consumer<End> then;
    boolean stopped;

    /** A former process has begun it: it is never begun here. */
    boolean adopted;

    /** The reply to the call it waited for, until it is heard of again. */
    byte[] reply;

    ActiveRun(String rid, String operation, byte[] body, boolean repeatable, Consumer<End> then) {
        this.rid = rid;
        this.operation = operation;
        this.body = body;
        this.repeatable = repeatable;
        this.then = then;
    }
}
