package ochretiller.fleet.replication;

import java.util.Map;

/**
 * The claim modes that the operators have configured.
 *
 * @param defaultMode mode of operations that are not listed
 * @param byOperation modes of listed operations, by operation name
 */
public record ClaimModeSettings(ClaimMode defaultMode, Map<String, ClaimMode> byOperation) {
    /** Settings with which every operation is claimed in the fleet. */
    public static final ClaimModeSettings ALL_FLEET =
            new ClaimModeSettings(ClaimMode.FLEET, Map.of());

    public ClaimModeSettings {
        byOperation = Map.copyOf(byOperation);
    }

    /** Returns the mode of an operation. */
    public ClaimMode modeOf(String operation) {
        return byOperation.getOrDefault(operation, defaultMode);
    }
}
