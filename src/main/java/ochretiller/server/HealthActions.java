package ochretiller.server;

import java.time.Duration;

/** Publishes the state of the server to those who send it work. */
public interface HealthActions {
    /**
     * Sets the answer to health checks.
     *
     * @param healthy the answer
     * @param stored whether deep checks are answered from this setting as well, without the work of
     *     a deep check
     */
    void setHealth(boolean healthy, boolean stored);

    /**
     * Sets the capacity figure that is sent with each answer; its meaning is the site's {@code
     * CapacityAdvertisement}.
     */
    void advertiseCapacity(double value);

    /** Sets after how long without traffic a connection is closed. */
    void setIdleTimeout(Duration timeout);

    /** Writes a line to the server's log. */
    void logNote(String text);
}
