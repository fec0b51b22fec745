package ochretiller.emulator.simulation;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import ochretiller.emulator.core.EventQueue;
import ochretiller.emulator.scenario.Scenario;

/**
 * One that chooses boxes for its callers, with habits of its own: how it picks, retries, waits and
 * heeds.
 */
final class GatewayModel {
    /** Draws for a good box: with half of them good, one in 256 finds none. */
    private static final int DRAWS = 8;

    /** Pause where it knows of no box at all. */
    private static final int NO_BOX_PAUSE_MS = 100;

    private final Simulation world;
    private final EventQueue events;
    private final Scenario.Gateways plan;
    private final SplittableRandom chance;
    private final boolean heeds;
    private ServiceDirectory known;
    private final Map<EmulatedServer, Integer> open = new HashMap<>();
    private final Map<EmulatedServer, Double> backAt = new HashMap<>();
    private int turn;

    /** While it lasts, it retries as often as it can and heeds nothing. */
    boolean storms;

    GatewayModel(Simulation world, int number, ServiceDirectory known) {
        this.world = world;
        this.events = world.events;
        this.plan = world.script.gateways();
        this.chance = world.seeds.of("gateway " + number);
        this.heeds = chance.nextDouble() < plan.heeds();
        this.known = known;
        this.turn = chance.nextInt(1 << 20);
    }

    /** It has learnt which boxes there are. */
    void learns(ServiceDirectory now) {
        known = now;
        open.keySet().removeIf(box -> box.state == EmulatedServer.State.DEAD);
        backAt.keySet().removeIf(box -> box.state == EmulatedServer.State.DEAD);
    }

    /**
     * Passes an invocation on; {@code now} is told of its end, and the caller's part of it is over
     * then.
     */
    void send(ClientRequest ask) {
        if (ask.over) {
            return;
        }
        EmulatedServer box = choose(ask);
        if (box == null) {
            ask.tries++;
            again(ask, null, Duration.ofMillis(NO_BOX_PAUSE_MS));
            return;
        }
        ask.tries++;
        open.merge(box, 1, Integer::sum);
        boolean[] ended = {false};
        RequestAttempt[] sent = new RequestAttempt[1];
        sent[0] =
                new RequestAttempt(
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
                        ask.ends(ClientRequest.End.TIMED_OUT);
                    } else {
                        again(ask, box, Duration.ZERO);
                    }
                });
    }

    private void heard(
            ClientRequest ask,
            EmulatedServer box,
            RequestAttempt.Answer answer,
            Duration backoff,
            boolean last) {
        switch (answer) {
            case SUCCEEDED -> ask.ends(ClientRequest.End.SUCCEEDED);
            case ERRORED -> {
                if (ask.operation.isIdempotent()) {
                    again(ask, box, Duration.ZERO);
                } else {
                    ask.ends(ClientRequest.End.ERRORED);
                }
            }
            case THROTTLED -> {
                if (heeds && !storms) {
                    backAt.put(box, events.seconds() + backoff.toNanos() / 1e9);
                }
                ask.throttled++;
                if (last && heeds && !storms) {
                    ask.ends(ClientRequest.End.THROTTLED);
                } else {
                    again(ask, box, heeds && !storms ? backoff : Duration.ZERO);
                }
            }
            case RESET -> {
                if (ask.operation.isIdempotent() || ask.operation.isKeyed()) {
                    again(ask, box, Duration.ZERO);
                } else {
                    ask.ends(ClientRequest.End.ERRORED);
                }
            }
            default -> throw new IllegalStateException();
        }
    }

    private void again(ClientRequest ask, EmulatedServer not, Duration advised) {
        double pause =
                storms
                        ? 0.001
                        : Math.max(
                                plan.pauseMs() / 1e3 * chance.nextDouble(0.5, 1.5),
                                not == null || ask.operation.isKeyed()
                                        ? advised.toNanos() / 1e9
                                        : 0);
        boolean spent = !storms && plan.tries() > 0 && ask.tries >= plan.tries();
        if (spent || events.seconds() + pause >= ask.dueAt) {
            ask.ends(ask.throttled > 0 ? ClientRequest.End.THROTTLED : ClientRequest.End.ERRORED);
            return;
        }
        ask.not = not;
        events.after(pause, () -> send(ask));
    }

    /**
     * A keyed one goes where its key belongs, so that its repeat finds its mark; any other by the
     * habit of this gateway.
     */
    private EmulatedServer choose(ClientRequest ask) {
        List<EmulatedServer> boxes = known.boxes;
        if (boxes.isEmpty()) {
            return null;
        }
        if (ask.token != null) {
            return known.owner(ask.token);
        }
        return switch (plan.choice()) {
            case "turns" -> {
                for (int i = 0; i < boxes.size(); i++) {
                    EmulatedServer next = boxes.get(Math.floorMod(turn++, boxes.size()));
                    if (good(next, ask)) {
                        yield next;
                    }
                }
                yield boxes.get(Math.floorMod(turn++, boxes.size()));
            }
            case "least" -> {
                EmulatedServer least = null;
                int first = Math.floorMod(turn++, boxes.size());
                for (int i = 0; i < boxes.size(); i++) {
                    EmulatedServer box = boxes.get((first + i) % boxes.size());
                    if (good(box, ask) && (least == null || opened(box) < opened(least))) {
                        least = box;
                    }
                }
                yield least == null ? boxes.get(first) : least;
            }
            case "two" -> {
                EmulatedServer one = any(ask);
                EmulatedServer other = any(ask);
                yield opened(one) <= opened(other) ? one : other;
            }
            default -> any(ask);
        };
    }

    private int opened(EmulatedServer box) {
        return open.getOrDefault(box, 0);
    }

    /** One by chance; a good one unless a few draws find none. */
    private EmulatedServer any(ClientRequest ask) {
        EmulatedServer box = null;
        for (int i = 0; i < DRAWS; i++) {
            box = known.boxes.get(chance.nextInt(known.boxes.size()));
            if (good(box, ask)) {
                return box;
            }
        }
        return box;
    }

    private boolean good(EmulatedServer box, ClientRequest ask) {
        boolean back = !heeds || storms || backAt.getOrDefault(box, 0.0) <= events.seconds();
        return back && box != ask.not && world.seenHealthy(box);
    }
}
