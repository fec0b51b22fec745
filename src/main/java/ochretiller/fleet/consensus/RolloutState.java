package ochretiller.fleet.consensus;

/**
 * Which version of what servers act on is being brought out, and how far it has come: a part of
 * what an epoch agrees on.
 *
 * @param target the version that is brought out, or that all act on once it is {@link Phase#DONE}
 * @param previous the version that servers act on that have not come to their turn
 * @param stage how far it has come: at each more servers are to act on it
 */
public record RolloutState(
        PublishedVersion target, PublishedVersion previous, int stage, Phase phase) {
    /** Nothing was ever brought out: each server acts on its own files. */
    public static final RolloutState NONE =
            new RolloutState(PublishedVersion.NONE, PublishedVersion.NONE, 0, Phase.DONE);

    /** How it goes on. */
    public enum Phase {
        /** It goes on by itself. */
        RUNNING("RUNS"),
        /** A person has stopped it, and lets it go on or takes it back. */
        PAUSED("PAUSED"),
        /** It was stopped by itself, for what was seen of it. */
        HALTED("HALTED"),
        /** All servers are to act on it. */
        DONE("DONE");

        private final String externalName;

        Phase(String externalName) {
            this.externalName = externalName;
        }

        /**
         * The word by which JSON, log lines and the audit name it; it stays whatever the constant
         * is called.
         */
        public String externalName() {
            return externalName;
        }
    }

    /**
     * What servers act on.
     *
     * @param number grows by one from version to version; 0 where none was ever published
     * @param hash SHA-256 of its bytes, in hex; empty where each server acts on its own files
     * @param sizeBytes in bytes
     * @param minimumBuild the least build that can act on it; empty for any
     * @param publisher who published it
     * @param reason their reason
     */
    public record PublishedVersion(
            long number,
            String hash,
            int sizeBytes,
            String minimumBuild,
            String publisher,
            String reason) {
        public static final PublishedVersion NONE = new PublishedVersion(0, "", 0, "", "", "");

        /** Characters of a hash, and of what people say at most. */
        public static final int HASH_LENGTH = 64;

        public static final int MAX_TEXT_LENGTH = 120;

        /** Bytes of a version at most: what goes with one word at the fleet's door. */
        public static final int MAX_BYTES = 48 * 1024;

        /** Guards against a peer that says less or more than a version is. */
        public PublishedVersion {
            boolean own = hash.isEmpty() && sizeBytes == 0;
            boolean some =
                    number > 0
                            && hash.length() == HASH_LENGTH
                            && sizeBytes > 0
                            && sizeBytes <= MAX_BYTES;
            if (number < 0 || !own && !some) {
                throw new IllegalArgumentException("no version");
            }
            if (minimumBuild.length() > MAX_TEXT_LENGTH
                    || publisher.length() > MAX_TEXT_LENGTH
                    || reason.length() > MAX_TEXT_LENGTH) {
                throw new IllegalArgumentException("too long");
            }
        }

        /** Whether each server acts on its own files. */
        public boolean usesLocalFiles() {
            return hash.isEmpty();
        }

        /** The same bytes as a version of their own. */
        PublishedVersion republishedAs(long next, String whose, String reason) {
            return new PublishedVersion(next, hash, sizeBytes, minimumBuild, whose, reason);
        }
    }

    /** Guards against one that cannot be. */
    public RolloutState {
        if (stage < 0 || stage > 9 || target.number < previous.number) {
            throw new IllegalArgumentException("no rollout");
        }
    }

    /** Whether another may begin. */
    public boolean isComplete() {
        return phase == Phase.DONE;
    }

    /** The next version begins at its first stage. */
    public RolloutState startRollout(PublishedVersion next) {
        return new RolloutState(next, target, 0, Phase.RUNNING);
    }

    public RolloutState withStage(int next) {
        return new RolloutState(target, previous, next, phase);
    }

    public RolloutState withPhase(Phase next) {
        return new RolloutState(target, previous, stage, next);
    }

    /** All servers act on it; what was before is forgotten. */
    public RolloutState completed() {
        return new RolloutState(target, target, 0, Phase.DONE);
    }

    /**
     * What was before comes back for all at once, as a version of its own: numbers never go back.
     */
    public RolloutState rolledBack(String by, String why) {
        PublishedVersion again = previous.republishedAs(target.number + 1, by, why);
        return new RolloutState(again, again, 0, Phase.DONE);
    }
}
