package ochretiller.fleet.service;

import java.util.function.BiConsumer;
import ochretiller.fleet.membership.Member;

/**
 * Callbacks from the fleet service to its server, all on the event loop.
 *
 * @param memberObserver called when a member becomes live or ceases to be; the flag tells whether
 *     any live member serves its service address
 * @param versionActivator activates versions
 * @param leaveRequest run when an admin command requests this server to leave
 */
public record FleetCallbacks(
        BiConsumer<Member, Boolean> memberObserver,
        VersionActivator versionActivator,
        Runnable leaveRequest) {}
