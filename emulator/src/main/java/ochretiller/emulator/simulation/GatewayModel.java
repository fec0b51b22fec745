package ochretiller.emulator.simulation;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import ochretiller.emulator.core.EventQueue;
import ochretiller.emulator.scenario.Scenario;

/**
 * Models a gateway, which chooses a server for each request of its clients and retries failed
 * attempts. Gateways differ in whether they follow backoff advice.
 */
final class GatewayModel {
    /** Draws for an eligible server: if half of them are, all draws fail once in 256 times. */
    private static final int MAX_DRAWS = 8;

    /** Least pause before a retry if the gateway knows no server. */
    private static final int NO_SERVER_PAUSE_MS = 100;

    private final Simulation simulation;
    private final EventQueue events;
    private final Scenario.Gateways config;
    private final SplittableRandom random;
    private final boolean followsBackoff;
    private ServiceDirectory directory;
    private final Map<EmulatedServer, Integer> openAttempts = new HashMap<>();
    private final Map<EmulatedServer, Double> backoffUntil = new HashMap<>();
    private int nextTurn;

    /** During a retry storm, the gateway ignores advice and retries without limit. */
    boolean retryStorm;

    GatewayModel(Simulation simulation, int number, ServiceDirectory directory) {
        this.simulation = simulation;
        this.events = simulation.events;
        this.config = simulation.scenario.gateways();
        this.random = simulation.randomStreams.stream("gateway " + number);
        this.followsBackoff = random.nextDouble() < config.heeds();
        this.directory = directory;
        this.nextTurn = random.nextInt(1 << 20);
    }

    /** Replaces the directory, and forgets the state of servers that have stopped. */
    void updateDirectory(ServiceDirectory newDirectory) {
        directory = newDirectory;
        openAttempts.keySet().removeIf(server -> server.state == EmulatedServer.State.STOPPED);
        backoffUntil.keySet().removeIf(server -> server.state == EmulatedServer.State.STOPPED);
    }

    /**
     * Sends the next attempt of a request to a server. On an error or the attempt's timeout, the
     * request is retried or ends.
     */
    void send(ClientRequest request) {
        if (request.ended) {
            return;
        }
        EmulatedServer server = choose(request);
        if (server == null) {
            request.attempts++;
            retry(request, null, Duration.ofMillis(NO_SERVER_PAUSE_MS));
            return;
        }
        request.attempts++;
        openAttempts.merge(server, 1, Integer::sum);
        boolean[] done = {false};
        RequestAttempt[] attempt = new RequestAttempt[1];
        attempt[0] =
                new RequestAttempt(
                        simulation.nextId(),
                        request.operation,
                        request.token,
                        request.caller,
                        request.spec.kb(),
                        request.workSeconds,
                        request.attempts > 1,
                        (answer, backoff, isFinal) ->
                                simulation.transmit(
                                        server,
                                        () -> {
                                            if (done[0]) {
                                                return;
                                            }
                                            done[0] = true;
                                            openAttempts.computeIfPresent(
                                                    server, (key, count) -> count - 1);
                                            handleAnswer(request, server, answer, backoff, isFinal);
                                        }));
        request.server = server;
        request.lastAttempt = attempt[0];
        simulation.transmit(server, () -> server.receive(attempt[0]));
        double remaining = request.deadline - events.nowSeconds();
        double timeout =
                config.tryMs() == 0 ? remaining : Math.min(remaining, config.tryMs() / 1e3);
        events.schedule(
                timeout,
                () -> {
                    if (done[0]) {
                        return;
                    }
                    done[0] = true;
                    openAttempts.computeIfPresent(server, (key, count) -> count - 1);
                    simulation.transmit(server, () -> server.clientGone(attempt[0]));
                    if (events.nowSeconds() >= request.deadline - 1e-6) {
                        request.end(ClientRequest.Outcome.TIMED_OUT);
                    } else {
                        retry(request, server, Duration.ZERO);
                    }
                });
    }

    private void handleAnswer(
            ClientRequest request,
            EmulatedServer server,
            RequestAttempt.Answer answer,
            Duration backoff,
            boolean isFinal) {
        switch (answer) {
            case SUCCEEDED -> request.end(ClientRequest.Outcome.SUCCEEDED);
            case ERRORED -> {
                if (request.operation.isIdempotent()) {
                    retry(request, server, Duration.ZERO);
                } else {
                    request.end(ClientRequest.Outcome.ERRORED);
                }
            }
            case THROTTLED -> {
                if (followsBackoff && !retryStorm) {
                    backoffUntil.put(server, events.nowSeconds() + backoff.toNanos() / 1e9);
                }
                request.throttledAttempts++;
                if (isFinal && followsBackoff && !retryStorm) {
                    request.end(ClientRequest.Outcome.THROTTLED);
                } else {
                    retry(request, server, followsBackoff && !retryStorm ? backoff : Duration.ZERO);
                }
            }
            case RESET -> {
                if (request.operation.isIdempotent() || request.operation.isKeyed()) {
                    retry(request, server, Duration.ZERO);
                } else {
                    request.end(ClientRequest.Outcome.ERRORED);
                }
            }
            default -> throw new IllegalStateException();
        }
    }

    private void retry(
            ClientRequest request, EmulatedServer failedServer, Duration advisedBackoff) {
        double pause =
                retryStorm
                        ? 0.001
                        : Math.max(
                                config.pauseMs() / 1e3 * random.nextDouble(0.5, 1.5),
                                failedServer == null || request.operation.isKeyed()
                                        ? advisedBackoff.toNanos() / 1e9
                                        : 0);
        boolean attemptsExhausted =
                !retryStorm && config.tries() > 0 && request.attempts >= config.tries();
        if (attemptsExhausted || events.nowSeconds() + pause >= request.deadline) {
            request.end(
                    request.throttledAttempts > 0
                            ? ClientRequest.Outcome.THROTTLED
                            : ClientRequest.Outcome.ERRORED);
            return;
        }
        request.avoidedServer = failedServer;
        events.schedule(pause, () -> send(request));
    }

    /**
     * Chooses a server, null if none is known. A keyed request goes to the owner of its token, so
     * that a retry finds its in-flight marker; any other follows the configured choice.
     */
    private EmulatedServer choose(ClientRequest request) {
        List<EmulatedServer> servers = directory.servers;
        if (servers.isEmpty()) {
            return null;
        }
        if (request.token != null) {
            return directory.owner(request.token);
        }
        return switch (config.choice()) {
            case "turns" -> {
                for (int i = 0; i < servers.size(); i++) {
                    EmulatedServer next = servers.get(Math.floorMod(nextTurn++, servers.size()));
                    if (isEligible(next, request)) {
                        yield next;
                    }
                }
                yield servers.get(Math.floorMod(nextTurn++, servers.size()));
            }
            case "least" -> {
                EmulatedServer least = null;
                int first = Math.floorMod(nextTurn++, servers.size());
                for (int i = 0; i < servers.size(); i++) {
                    EmulatedServer server = servers.get((first + i) % servers.size());
                    if (isEligible(server, request)
                            && (least == null || openCount(server) < openCount(least))) {
                        least = server;
                    }
                }
                yield least == null ? servers.get(first) : least;
            }
            case "two" -> {
                EmulatedServer first = randomServer(request);
                EmulatedServer second = randomServer(request);
                yield openCount(first) <= openCount(second) ? first : second;
            }
            default -> randomServer(request);
        };
    }

    private int openCount(EmulatedServer server) {
        return openAttempts.getOrDefault(server, 0);
    }

    /** Draws a random server; it is ineligible only if no draw found an eligible one. */
    private EmulatedServer randomServer(ClientRequest request) {
        EmulatedServer server = null;
        for (int i = 0; i < MAX_DRAWS; i++) {
            server = directory.servers.get(random.nextInt(directory.servers.size()));
            if (isEligible(server, request)) {
                return server;
            }
        }
        return server;
    }

    private boolean isEligible(EmulatedServer server, ClientRequest request) {
        boolean backoffOver =
                !followsBackoff
                        || retryStorm
                        || backoffUntil.getOrDefault(server, 0.0) <= events.nowSeconds();
        return backoffOver
                && server != request.avoidedServer
                && simulation.isObservedHealthy(server);
    }
}
