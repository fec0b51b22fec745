package ochretiller.fleet.service;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BiFunction;
import java.util.logging.Logger;
import ochretiller.fleet.membership.MembershipProtocol;
import ochretiller.fleet.transport.CommandHandler;
import ochretiller.fleet.transport.PeerSocket;

/** Handlers of the admin commands that a server accepts, by their names on the wire. */
final class AdminCommands {
    private static final Logger LOG = Logger.getLogger(FleetService.class.getName());
    private static final String NO_ROLLOUT = "{\"refused\":\"no versions are brought out here\"}";
    private static final String NO_REPLICATION = "{\"copies\":false}";
    private static final List<String> CONTROL_COMMANDS = List.of("pause", "go-on", "take-back");

    private final Map<String, CommandHandler> handlers = new HashMap<>();

    /** Returns the handlers by command name. */
    Map<String, CommandHandler> handlers() {
        return Map.copyOf(handlers);
    }

    /** Adds the membership commands. */
    AdminCommands withMembership(
            String fleetName,
            MembershipProtocol membership,
            PeerSocket socket,
            Runnable leaveRequest) {
        handlers.put("view", arguments -> MembershipJson.viewJson(fleetName, membership, socket));
        handlers.put("ping", arguments -> "{}");
        handlers.put("leave", arguments -> leave(leaveRequest));
        return this;
    }

    private static String leave(Runnable leaveRequest) {
        LOG.info("fleet: admin command requests this server to leave");
        leaveRequest.run();
        return "{\"leaves\":true}";
    }

    /** Adds the version commands; without a rollout service they are rejected. */
    AdminCommands withRollout(Optional<RolloutService> rollout) {
        addRollout(rollout, "version-status", (service, arguments) -> service.status());
        addRollout(rollout, "version-publish", RolloutService::publish);
        for (String command : CONTROL_COMMANDS) {
            addRollout(
                    rollout,
                    "version-" + command,
                    (service, operator) -> service.executeCommand(command, operator));
        }
        return this;
    }

    private void addRollout(
            Optional<RolloutService> rollout,
            String command,
            BiFunction<RolloutService, String, String> handler) {
        handlers.put(
                command,
                arguments ->
                        rollout.map(service -> handler.apply(service, arguments))
                                .orElse(NO_ROLLOUT));
    }

    /** Adds the replication commands; without replication they respond {@code copies: false}. */
    AdminCommands withReplication(Optional<ReplicationService> replication) {
        addReplication(
                replication,
                "copies-status",
                (service, arguments) -> service.statusJson().status());
        addReplication(
                replication,
                "copies-show",
                (service, token) -> service.statusJson().tokenStatus(token));
        addReplication(
                replication,
                "copies-digests",
                (service, arguments) -> service.statusJson().rangeDigests());
        addReplication(
                replication,
                "copies-range",
                (service, range) -> service.statusJson().rangeTokens(range));
        addReplication(replication, "copies-repair", (service, arguments) -> service.repair());
        return this;
    }

    private void addReplication(
            Optional<ReplicationService> replication,
            String command,
            BiFunction<ReplicationService, String, String> handler) {
        handlers.put(
                command,
                arguments ->
                        replication
                                .map(service -> handler.apply(service, arguments))
                                .orElse(NO_REPLICATION));
    }
}
