package ochretiller.fleet.service;

import ochretiller.audit.ChainHead;
import ochretiller.fleet.consensus.PublishedVersion;

/** Activates versions and records rollout events on behalf of the rollout service. */
public interface VersionActivator {
    /**
     * Validates a version without side effects. Callable from any thread.
     *
     * @return why the version is invalid, or null if it is valid
     */
    String check(byte[] version);

    /**
     * Activates a version atomically with respect to tasks of the event loop.
     *
     * @param version bytes of the version, or null to use the server's local files
     * @return why the version cannot be activated, in which case nothing has changed; or null
     */
    String activate(byte[] version);

    /** Returns the head of this server's audit chain, or the empty head if there is no log. */
    ChainHead auditHead();

    /** Records a rollout event in the audit log. */
    void recordEvent(RolloutEvent event, PublishedVersion version, String text);
}
