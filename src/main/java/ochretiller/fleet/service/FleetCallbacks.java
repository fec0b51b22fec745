package ochretiller.fleet.service;

import java.util.function.BiConsumer;
import ochretiller.fleet.membership.Member;

/**
 * What the fleet service calls in the server around it, on the event loop.
 *
 * @param memberObserver is told of each member that becomes live or dead, with whether its service
 *     address is served
 * @param versionActivator puts versions into use
 * @param leaveRequest is run when an operators' command asks this server to leave
 */
public record FleetCallbacks(
        BiConsumer<Member, Boolean> memberObserver,
        VersionActivator versionActivator,
        Runnable leaveRequest) {}
