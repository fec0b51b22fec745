package ochretiller.fleet.replication;

import java.util.Map;

/**
 * The claim modes that the operators have configured.
 *
 * @param defaultMode mode of operations that are not listed
 * @param modesByOperation modes of listed operations, by operation name
 */
public record ClaimModeSettings(ClaimMode defaultMode, Map<String, ClaimMode> modesByOperation) {
    /** Settings with which every operation is claimed in the fleet. */
    public static final ClaimModeSettings ALL_FLEET =
            new ClaimModeSettings(ClaimMode.FLEET, Map.of());

    public ClaimModeSettings {
        modesByOperation = Map.copyOf(modesByOperation);
    }

    /** Returns the mode of an operation. */
    public ClaimMode modeOf(String operation) {
        return modesByOperation.getOrDefault(operation, defaultMode);
    }
}
