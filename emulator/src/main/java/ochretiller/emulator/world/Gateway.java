package ochretiller.emulator.world;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import ochretiller.emulator.core.Events;
import ochretiller.emulator.script.Script;

/**
 * One that chooses boxes for its callers, with habits of its own: how it picks, retries, waits and
 * heeds.
 */
final class Gateway {
    /** Draws for a good box: with half of them good, one in 256 finds none. */
    private static final int DRAWS = 8;

    /** Pause where it knows of no box at all. */
    private static final int NO_BOX_PAUSE_MS = 100;

    private final World world;
    private final Events events;
    private final Script.Gateways plan;
    private final SplittableRandom chance;
    private final boolean heeds;
    private Known known;
    private final Map<Box, Integer> open = new HashMap<>();
    private final Map<Box, Double> backAt = new HashMap<>();
    private int turn;

    /** While it lasts, it retries as often as it can and heeds nothing. */
    boolean storms;

    Gateway(World world, int number, Known known) {
        this.world = world;
        this.events = world.events;
        this.plan = world.script.gateways();
        this.chance = world.seeds.of("gateway " + number);
        this.heeds = chance.nextDouble() < plan.heeds();
        this.known = known;
        this.turn = chance.nextInt(1 << 20);
    }

    /** It has learnt which boxes there are. */
    void learns(Known now) {
        known = now;
        open.keySet().removeIf(box -> box.state == Box.State.DEAD);
        backAt.keySet().removeIf(box -> box.state == Box.State.DEAD);
    }

    /**
     * Passes an invocation on; {@code now} is told of its end, and the caller's part of it is over
     * then.
     */
    void send(Ask ask) {
        if (ask.over) {
            return;
        }
        Box box = choose(ask);
        if (box == null) {
            ask.tries++;
            again(ask, null, Duration.ofMillis(NO_BOX_PAUSE_MS));
            return;
        }
        ask.tries++;
        open.merge(box, 1, Integer::sum);
        boolean[] ended = {false};
        Message[] sent = new Message[1];
        sent[0] =
                new Message(
                        world.nextId(),
                        ask.operation,
                        ask.token,
                        ask.caller,
                        ask.plan.kb(),
                        ask.work,
                        ask.tries > 1,
                        (answer, backoff, last) ->
                                world.travel(
                                        box,
                                        () -> {
                                            if (ended[0]) {
                                                return;
                                            }
                                            ended[0] = true;
                                            open.computeIfPresent(box, (b, count) -> count - 1);
                                            heard(ask, box, answer, backoff, last);
                                        }));
        ask.at = box;
        ask.message = sent[0];
        world.travel(box, () -> box.receive(sent[0]));
        double left = ask.dueAt - events.seconds();
        double patience = plan.tryMs() == 0 ? left : Math.min(left, plan.tryMs() / 1e3);
        events.after(
                patience,
                () -> {
                    if (ended[0]) {
                        return;
                    }
                    ended[0] = true;
                    open.computeIfPresent(box, (b, count) -> count - 1);
                    world.travel(box, () -> box.gone(sent[0]));
                    if (events.seconds() >= ask.dueAt - 1e-6) {
                        ask.ends(Ask.End.TIMED_OUT);
                    } else {
                        again(ask, box, Duration.ZERO);
                    }
                });
    }

    private void heard(Ask ask, Box box, Message.Answer answer, Duration backoff, boolean last) {
        switch (answer) {
            case SUCCEEDED -> ask.ends(Ask.End.SUCCEEDED);
            case ERRORED -> {
                if (ask.operation.idempotent()) {
                    again(ask, box, Duration.ZERO);
                } else {
                    ask.ends(Ask.End.ERRORED);
                }
            }
            case THROTTLED -> {
                if (heeds && !storms) {
                    backAt.put(box, events.seconds() + backoff.toNanos() / 1e9);
                }
                ask.throttled++;
                if (last && heeds && !storms) {
                    ask.ends(Ask.End.THROTTLED);
                } else {
                    again(ask, box, heeds && !storms ? backoff : Duration.ZERO);
                }
            }
            case RESET -> {
                if (ask.operation.idempotent() || ask.operation.tokened()) {
                    again(ask, box, Duration.ZERO);
                } else {
                    ask.ends(Ask.End.ERRORED);
                }
            }
            default -> throw new IllegalStateException();
        }
    }

    private void again(Ask ask, Box not, Duration advised) {
        double pause =
                storms
                        ? 0.001
                        : Math.max(
                                plan.pauseMs() / 1e3 * chance.nextDouble(0.5, 1.5),
                                not == null || ask.operation.tokened()
                                        ? advised.toNanos() / 1e9
                                        : 0);
        boolean spent = !storms && plan.tries() > 0 && ask.tries >= plan.tries();
        if (spent || events.seconds() + pause >= ask.dueAt) {
            ask.ends(ask.throttled > 0 ? Ask.End.THROTTLED : Ask.End.ERRORED);
            return;
        }
        ask.not = not;
        events.after(pause, () -> send(ask));
    }

    /**
     * A keyed one goes where its key belongs, so that its repeat finds its mark; any other by the
     * habit of this gateway.
     */
    private Box choose(Ask ask) {
        List<Box> boxes = known.boxes;
        if (boxes.isEmpty()) {
            return null;
        }
        if (ask.token != null) {
            return known.owner(ask.token);
        }
        return switch (plan.choice()) {
            case "turns" -> {
                for (int i = 0; i < boxes.size(); i++) {
                    Box next = boxes.get(Math.floorMod(turn++, boxes.size()));
                    if (good(next, ask)) {
                        yield next;
                    }
                }
                yield boxes.get(Math.floorMod(turn++, boxes.size()));
            }
            case "least" -> {
                Box least = null;
                int first = Math.floorMod(turn++, boxes.size());
                for (int i = 0; i < boxes.size(); i++) {
                    Box box = boxes.get((first + i) % boxes.size());
                    if (good(box, ask) && (least == null || opened(box) < opened(least))) {
                        least = box;
                    }
                }
                yield least == null ? boxes.get(first) : least;
            }
            case "two" -> {
                Box one = any(ask);
                Box other = any(ask);
                yield opened(one) <= opened(other) ? one : other;
            }
            default -> any(ask);
        };
    }

    private int opened(Box box) {
        return open.getOrDefault(box, 0);
    }

    /** One by chance; a good one unless a few draws find none. */
    private Box any(Ask ask) {
        Box box = null;
        for (int i = 0; i < DRAWS; i++) {
            box = known.boxes.get(chance.nextInt(known.boxes.size()));
            if (good(box, ask)) {
                return box;
            }
        }
        return box;
    }

    private boolean good(Box box, Ask ask) {
        boolean back = !heeds || storms || backAt.getOrDefault(box, 0.0) <= events.seconds();
        return back && box != ask.not && world.seenHealthy(box);
    }
}
