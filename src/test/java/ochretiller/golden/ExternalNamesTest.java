package ochretiller.golden;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.stream.Stream;
import ochretiller.audit.Timeline;
import ochretiller.fleet.copies.Modes;
import ochretiller.fleet.epochs.Rollout;
import ochretiller.fleet.members.State;
import ochretiller.fleet.peers.Refused;
import ochretiller.model.RunEnd;
import ochretiller.net.CloseCode;
import ochretiller.pools.End;
import ochretiller.remembered.Mark;
import ochretiller.remembered.Memory;
import org.junit.jupiter.api.Test;

/** The words of each enum whose constants are named outside the process, in their order. */
class ExternalNamesTest {
    @Test
    void reasonsOfRefusedPacketsKeepTheirWords() {
        assertThat(Stream.of(Refused.values()).map(Refused::externalName))
                .containsExactly(
                        "LENGTH",
                        "NOT_OURS",
                        "NEWER",
                        "FORGED",
                        "OTHER_FLEET",
                        "MALFORMED",
                        "REPLAYED",
                        "KIND",
                        "OVER_BUDGET",
                        "BEHIND");
        assertThat(Stream.of(Refused.values()).map(Refused::lowerCaseName))
                .containsExactly(
                        "length",
                        "not_ours",
                        "newer",
                        "forged",
                        "other_fleet",
                        "malformed",
                        "replayed",
                        "kind",
                        "over_budget",
                        "behind");
    }

    @Test
    void statesOfMembersKeepTheirWords() {
        assertThat(Stream.of(State.values()).map(State::externalName))
                .containsExactly("JOINING", "HERE", "SUSPECT", "SILENT", "LEFT");
        assertThat(Stream.of(State.values()).map(State::lowerCaseName))
                .containsExactly("joining", "here", "suspect", "silent", "left");
    }

    @Test
    void statesOfRolloutsKeepTheirWords() {
        assertThat(Stream.of(Rollout.State.values()).map(Rollout.State::externalName))
                .containsExactly("RUNS", "PAUSED", "HALTED", "DONE");
    }

    @Test
    void knowledgeOfAStretchKeepsItsWords() {
        assertThat(Stream.of(Timeline.Known.values()).map(Timeline.Known::externalName))
                .containsExactly("ACTED", "SHUT_OUT", "UNKNOWN");
    }

    @Test
    void statesOfStoredResultsKeepTheirWords() {
        assertThat(Stream.of(Mark.State.values()).map(Mark.State::externalName))
                .containsExactly("MARKED", "SUCCEEDED", "LOST");
    }

    @Test
    void statesOfTheDiskKeepTheirWords() {
        assertThat(Stream.of(Memory.Disk.values()).map(Memory.Disk::externalName))
                .containsExactly("well", "stalled", "sick");
    }

    @Test
    void modesOfOperationsKeepTheirWordsBothWays() {
        assertThat(Stream.of(Modes.Mode.values()).map(Modes.Mode::externalName))
                .containsExactly("fleet", "server");
        assertThat(Modes.Mode.fromExternalName("fleet")).isSameAs(Modes.Mode.values()[0]);
        assertThat(Modes.Mode.fromExternalName("server")).isSameAs(Modes.Mode.values()[1]);
        assertThatThrownBy(() -> Modes.Mode.fromExternalName("other"))
                .isInstanceOf(IllegalArgumentException.class);
    }

    @Test
    void codesOfConnectionsThatEndKeepTheirWords() {
        assertThat(Stream.of(CloseCode.values()).map(CloseCode::externalName))
                .containsExactly(
                        "PEER_CLOSED",
                        "BROKEN",
                        "REFUSED",
                        "IDLE",
                        "BAD_INPUT",
                        "SILENT",
                        "FLOOD",
                        "NOT_READING",
                        "TOO_MANY",
                        "MOVED",
                        "GIVEN_UP",
                        "ANSWERED",
                        "LEAVING");
    }

    @Test
    void endsOfRequestsToWorkersKeepTheirWords() {
        assertThat(Stream.of(End.values()).map(End::externalName))
                .containsExactly("ANSWERED", "FAILED", "SILENT", "GIVEN_UP", "NEVER_BEGUN");
    }

    @Test
    void endsOfRunsKeepTheirWords() {
        assertThat(Stream.of(RunEnd.Result.values()).map(RunEnd.Result::externalName))
                .containsExactly("SUCCEEDED", "ERRORED", "STOPPED", "NOTHING", "NOT_BEGUN");
    }
}
