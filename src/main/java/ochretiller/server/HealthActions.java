package ochretiller.server;

import java.time.Duration;

/** Publishes the state of the server to its clients and their load balancers. */
public interface HealthActions {
    /**
     * Sets the answer to health checks.
     *
     * @param healthy the answer
     * @param answersDeepChecks whether deep checks get this answer too, without being executed
     */
    void setHealth(boolean healthy, boolean answersDeepChecks);

    /**
     * Sets the capacity value that is sent with each answer. Clients interpret it according to the
     * configured {@code CapacityAdvertisement}.
     */
    void advertiseCapacity(double value);

    /** Sets the time without traffic after which a connection is closed. */
    void setIdleTimeout(Duration timeout);

    /** Writes a line to the server's log. */
    void logNote(String text);
}
