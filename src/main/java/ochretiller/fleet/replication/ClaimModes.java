package ochretiller.fleet.replication;

import java.time.Duration;
import java.util.Map;

/**
 * Which operations are claimed in the fleet, and how a server stops claiming: a token's mode is
 * that of its first claim. A server that only asked whether a token has been claimed would run it
 * beside one that claims it in the same moment. So it goes on claiming until all tokens that others
 * may have claimed for good are past their windows.
 */
public final class ClaimModes {
    /** How a token is guarded. */
    public enum ClaimMode {
        /** It runs once in the fleet. */
        FLEET("fleet"),
        /** It runs once on each server, as without a fleet. */
        SERVER("server");

        private final String externalName;

        ClaimMode(String externalName) {
            this.externalName = externalName;
        }

        /** The word of the operators' file; it stays whatever the constant is called. */
        public String externalName() {
            return externalName;
        }

        /** The mode of this word of the operators' file, in whatever case. */
        public static ClaimMode fromExternalName(String word) {
            for (ClaimMode mode : values()) {
                if (mode.externalName.equalsIgnoreCase(word)) {
                    return mode;
                }
            }
            throw new IllegalArgumentException("no mode: '" + word + "'");
        }
    }

    /** What is to be done before a run. */
    public enum ClaimRequirement {
        REQUIRED,
        /** A claim that tells others that they need not mind it. */
        REQUIRED_TRANSITIONALLY,
        NOT_REQUIRED
    }

    /**
     * What the operators have set.
     *
     * @param defaultMode of operations that are not named
     * @param byOperation of those that are
     */
    public record ClaimModeSettings(ClaimMode defaultMode, Map<String, ClaimMode> byOperation) {
        public static final ClaimModeSettings ALL_FLEET =
                new ClaimModeSettings(ClaimMode.FLEET, Map.of());

        public ClaimModeSettings {
            byOperation = Map.copyOf(byOperation);
        }

        public ClaimMode modeOf(String operation) {
            return byOperation.getOrDefault(operation, defaultMode);
        }
    }

    private final ClaimModeSettings told;
    private final Duration longest;
    private Duration until;

    /**
     * @param longest the longest window of a token: no claim is remembered longer
     */
    public ClaimModes(ClaimModeSettings told, Duration longest, Duration now) {
        this.told = told;
        this.longest = longest;
        // A former process of this server, and all others, may have claimed until just now.
        this.until = now.plus(longest);
    }

    /**
     * Another server asks for a claim of this operation. Of others it says nothing: they may stay
     * in the fleet's mode for good.
     */
    public void claimObserved(String operation, boolean leaves, Duration now) {
        if (!leaves && told.modeOf(operation) == ClaimMode.SERVER) {
            until = now.plus(longest);
        }
    }

    public ClaimRequirement requirementFor(String operation, Duration now) {
        if (told.modeOf(operation) == ClaimMode.FLEET) {
            return ClaimRequirement.REQUIRED;
        }
        return now.compareTo(until) < 0
                ? ClaimRequirement.REQUIRED_TRANSITIONALLY
                : ClaimRequirement.NOT_REQUIRED;
    }
}
