package ochretiller.fleet.versions;

import ochretiller.fleet.epochs.Rollout;

/** What is said about versions, from one server to another. */
public sealed interface VersionMessage {
    /**
     * To each voter: what I act on; may I go on?
     *
     * @param audited number of the last record of this server's audit, or 0
     * @param auditHash of that
     */
    record Tell(long question, Report report, long audited, String auditHash)
            implements VersionMessage {
        public Tell {
            if (audited < 0 || auditHash.length() != (audited == 0 ? 0 : 64)) {
                throw new IllegalArgumentException("no audit");
            }
        }
    }

    /** A voter's answer. */
    record Renewed(long question, boolean may) implements VersionMessage {}

    /** To each voter, before a version is agreed on: have these bytes, from me. */
    record Offer(String hash, int size) implements VersionMessage {
        public Offer {
            if (hash.length() != 64 || size <= 0 || size > Rollout.Version.MOST) {
                throw new IllegalArgumentException("no offer");
            }
        }
    }

    /** I have them, on my disk. */
    record Have(String hash) implements VersionMessage {}

    /** Give me the bytes of the version of this hash from here on. */
    record WantBytes(String hash, int from) implements VersionMessage {
        public WantBytes {
            if (hash.length() != 64 || from < 0) {
                throw new IllegalArgumentException("no question");
            }
        }
    }

    /** Some of them. */
    record Bytes(String hash, int from, byte[] bytes) implements VersionMessage {
        public Bytes {
            if (hash.length() != 64 || from < 0 || bytes.length > Gather.PIECE) {
                throw new IllegalArgumentException("no bytes");
            }
        }

        @Override
        public boolean equals(Object other) {
            return other instanceof Bytes that
                    && that.hash.equals(hash)
                    && that.from == from
                    && java.util.Arrays.equals(that.bytes, bytes);
        }

        @Override
        public int hashCode() {
            return hash.hashCode() + from;
        }
    }
}
