package ochretiller.fleet.service;

import ochretiller.audit.ChainHead;
import ochretiller.fleet.consensus.PublishedVersion;

/** What the rollout needs of the server around it: to put a version into use and to record it. */
public interface VersionActivator {
    /**
     * Checks a version without any effect. From any thread.
     *
     * @return what is wrong with it, or null
     */
    String check(byte[] version);

    /**
     * Puts a version into use as a whole, between two rounds of the event loop.
     *
     * @param version null for the server's own files
     * @return what is wrong with it, or null; in that case nothing has changed
     */
    String become(byte[] version);

    /** Returns the end of this server's audit log, or the empty one if there is no log. */
    ChainHead audited();

    /** Records an event in the audit log. */
    void told(RolloutEvent event, PublishedVersion version, String text);
}
