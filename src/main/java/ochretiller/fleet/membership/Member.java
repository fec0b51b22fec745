package ochretiller.fleet.membership;

import java.util.Objects;
import java.util.Optional;

/**
 * A member's record, which the member describes itself and servers exchange.
 *
 * @param address the address for messages from other members
 * @param zone the failure domain that it shares with others
 * @param build the build of the program that it runs
 * @param serviceAddress the address at which it serves callers; empty if it serves none
 * @param stateVersion SWIM's incarnation number; only the member itself raises it, whenever it
 *     changes its state or refutes an accusation
 */
public record Member(
        MemberId id,
        PeerAddress address,
        String zone,
        String build,
        Optional<PeerAddress> serviceAddress,
        long stateVersion,
        MemberState state) {
    /** Maximum length of a name, zone or build, in characters. */
    public static final int MAX_TEXT_LENGTH = 64;

    /**
     * Validates the record, since a peer may send anything.
     *
     * @throws IllegalArgumentException if the name is empty, a text too long or a number invalid
     */
    public Member {
        requireText("name", id.name());
        requireText("zone", zone);
        requireText("build", build);
        if (id.name().isEmpty()) {
            throw new IllegalArgumentException("member name is empty");
        }
        Objects.requireNonNull(address);
        Objects.requireNonNull(serviceAddress);
        Objects.requireNonNull(state);
        if (stateVersion < 0 || id.incarnation() == 0) {
            throw new IllegalArgumentException(
                    "state version must not be negative, and incarnation not 0: "
                            + stateVersion
                            + ", "
                            + id.incarnation());
        }
    }

    private static void requireText(String component, String text) {
        if (text.length() > MAX_TEXT_LENGTH) {
            throw new IllegalArgumentException(
                    component + " has " + text.length() + " characters, limit " + MAX_TEXT_LENGTH);
        }
    }

    /** The incarnation of its process. */
    public long incarnation() {
        return id.incarnation();
    }

    /** The same member in another state, at another state version. */
    Member withState(MemberState nextState, long nextStateVersion) {
        return new Member(id, address, zone, build, serviceAddress, nextStateVersion, nextState);
    }

    /** The update to send to servers that have its record. */
    MembershipUpdate toUpdate(long accuser) {
        return new MembershipUpdate(incarnation(), stateVersion, state, accuser);
    }
}
