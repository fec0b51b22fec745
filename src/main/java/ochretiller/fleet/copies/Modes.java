package ochretiller.fleet.copies;

import java.time.Duration;
import java.util.Map;

/**
 * Which operations are claimed in the fleet, and how a server stops claiming: a token's mode is
 * that of its first claim. A server that only asked whether a token has been claimed would run it
 * beside one that claims it in the same moment. So it goes on claiming until all tokens that others
 * may have claimed for good are past their windows.
 */
public final class Modes {
    /** How a token is guarded. */
    public enum Mode {
        /** It runs once in the fleet. */
        FLEET("fleet"),
        /** It runs once on each server, as without a fleet. */
        SERVER("server");

        private final String externalName;

        Mode(String externalName) {
            this.externalName = externalName;
        }

        /** The word of the operators' file; it stays whatever the constant is called. */
        public String externalName() {
            return externalName;
        }

        /** The mode of this word of the operators' file, in whatever case. */
        public static Mode fromExternalName(String word) {
            for (Mode mode : values()) {
                if (mode.externalName.equalsIgnoreCase(word)) {
                    return mode;
                }
            }
            throw new IllegalArgumentException("no mode: '" + word + "'");
        }
    }

    /** What is to be done before a run. */
    public enum Before {
        CLAIM,
        /** A claim that tells others that they need not mind it. */
        CLAIM_STILL,
        NOTHING
    }

    /**
     * What the operators have set.
     *
     * @param usual of operations that are not named
     * @param byOperation of those that are
     */
    public record Told(Mode usual, Map<String, Mode> byOperation) {
        public static final Told FLEET = new Told(Mode.FLEET, Map.of());

        public Told {
            byOperation = Map.copyOf(byOperation);
        }

        public Mode of(String operation) {
            return byOperation.getOrDefault(operation, usual);
        }
    }

    private final Told told;
    private final Duration longest;
    private Duration until;

    /**
     * @param longest the longest window of a token: no claim is remembered longer
     */
    public Modes(Told told, Duration longest, Duration now) {
        this.told = told;
        this.longest = longest;
        // A former process of this server, and all others, may have claimed until just now.
        this.until = now.plus(longest);
    }

    /**
     * Another server asks for a claim of this operation. Of others it says nothing: they may stay
     * in the fleet's mode for good.
     */
    public void claimed(String operation, boolean leaves, Duration now) {
        if (!leaves && told.of(operation) == Mode.SERVER) {
            until = now.plus(longest);
        }
    }

    public Before before(String operation, Duration now) {
        if (told.of(operation) == Mode.FLEET) {
            return Before.CLAIM;
        }
        return now.compareTo(until) < 0 ? Before.CLAIM_STILL : Before.NOTHING;
    }
}
