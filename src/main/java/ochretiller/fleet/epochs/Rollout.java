package ochretiller.fleet.epochs;

/**
 * Which version of what servers act on is being brought out, and how far it has come: a part of
 * what an epoch agrees on.
 *
 * @param to the version that is brought out, or that all act on once it is {@link State#DONE}
 * @param from the version that servers act on that have not come to their turn
 * @param stage how far it has come: at each more servers are to act on it
 */
public record Rollout(Version to, Version from, int stage, State state) {
    /** Nothing was ever brought out: each server acts on its own files. */
    public static final Rollout NONE = new Rollout(Version.NONE, Version.NONE, 0, State.DONE);

    /** How it goes on. */
    public enum State {
        /** It goes on by itself. */
        RUNS("RUNS"),
        /** A person has stopped it, and lets it go on or takes it back. */
        PAUSED("PAUSED"),
        /** It was stopped by itself, for what was seen of it. */
        HALTED("HALTED"),
        /** All servers are to act on it. */
        DONE("DONE");

        private final String externalName;

        State(String externalName) {
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
     * @param size in bytes
     * @param build the least build that can act on it; empty for any
     * @param by who published it
     * @param why their reason
     */
    public record Version(long number, String hash, int size, String build, String by, String why) {
        public static final Version NONE = new Version(0, "", 0, "", "", "");

        /** Characters of a hash, and of what people say at most. */
        public static final int HASH = 64;

        public static final int LONGEST = 120;

        /** Bytes of a version at most: what goes with one word at the fleet's door. */
        public static final int MOST = 48 * 1024;

        /** Guards against a peer that says less or more than a version is. */
        public Version {
            boolean own = hash.isEmpty() && size == 0;
            boolean some = number > 0 && hash.length() == HASH && size > 0 && size <= MOST;
            if (number < 0 || !own && !some) {
                throw new IllegalArgumentException("no version");
            }
            if (build.length() > LONGEST || by.length() > LONGEST || why.length() > LONGEST) {
                throw new IllegalArgumentException("too long");
            }
        }

        /** Whether each server acts on its own files. */
        public boolean own() {
            return hash.isEmpty();
        }

        /** The same bytes as a version of their own. */
        Version as(long next, String whose, String reason) {
            return new Version(next, hash, size, build, whose, reason);
        }
    }

    /** Guards against one that cannot be. */
    public Rollout {
        if (stage < 0 || stage > 9 || to.number < from.number) {
            throw new IllegalArgumentException("no rollout");
        }
    }

    /** Whether another may begin. */
    public boolean over() {
        return state == State.DONE;
    }

    /** The next version begins at its first stage. */
    public Rollout begins(Version next) {
        return new Rollout(next, to, 0, State.RUNS);
    }

    public Rollout at(int next) {
        return new Rollout(to, from, next, state);
    }

    public Rollout as(State next) {
        return new Rollout(to, from, stage, next);
    }

    /** All servers act on it; what was before is forgotten. */
    public Rollout done() {
        return new Rollout(to, to, 0, State.DONE);
    }

    /**
     * What was before comes back for all at once, as a version of its own: numbers never go back.
     */
    public Rollout back(String by, String why) {
        Version again = from.as(to.number + 1, by, why);
        return new Rollout(again, again, 0, State.DONE);
    }
}
