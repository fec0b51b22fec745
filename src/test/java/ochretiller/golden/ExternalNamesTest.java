package ochretiller.golden;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.stream.Stream;
import ochretiller.audit.VersionStatus;
import ochretiller.fleet.consensus.RolloutPhase;
import ochretiller.fleet.membership.MemberState;
import ochretiller.fleet.replication.ClaimMode;
import ochretiller.fleet.transport.RejectReason;
import ochretiller.idempotency.durable.DiskHealth;
import ochretiller.idempotency.durable.InvocationProgress;
import ochretiller.model.RunOutcome;
import ochretiller.net.CloseCode;
import ochretiller.pools.RequestOutcome;
import org.junit.jupiter.api.Test;

/** Pins the external names of enum constants, in the order of declaration. */
class ExternalNamesTest {
    @Test
    void rejectReasonsKeepTheirExternalNames() {
        assertThat(Stream.of(RejectReason.values()).map(RejectReason::externalName))
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
        assertThat(Stream.of(RejectReason.values()).map(RejectReason::lowerCaseName))
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
    void memberStatesKeepTheirExternalNames() {
        assertThat(Stream.of(MemberState.values()).map(MemberState::externalName))
                .containsExactly("JOINING", "HERE", "SUSPECT", "SILENT", "LEFT");
        assertThat(Stream.of(MemberState.values()).map(MemberState::lowerCaseName))
                .containsExactly("joining", "here", "suspect", "silent", "left");
    }

    @Test
    void rolloutPhasesKeepTheirExternalNames() {
        assertThat(Stream.of(RolloutPhase.values()).map(RolloutPhase::externalName))
                .containsExactly("RUNS", "PAUSED", "HALTED", "DONE");
    }

    @Test
    void versionStatusesKeepTheirExternalNames() {
        assertThat(Stream.of(VersionStatus.values()).map(VersionStatus::externalName))
                .containsExactly("ACTED", "SHUT_OUT", "UNKNOWN");
    }

    @Test
    void invocationProgressKeepsItsExternalNames() {
        assertThat(Stream.of(InvocationProgress.values()).map(InvocationProgress::externalName))
                .containsExactly("MARKED", "SUCCEEDED", "LOST");
    }

    @Test
    void diskHealthKeepsItsExternalNames() {
        assertThat(Stream.of(DiskHealth.values()).map(DiskHealth::externalName))
                .containsExactly("well", "stalled", "sick");
    }

    @Test
    void claimModesKeepTheirExternalNamesBothWays() {
        assertThat(Stream.of(ClaimMode.values()).map(ClaimMode::externalName))
                .containsExactly("fleet", "server");
        assertThat(ClaimMode.fromExternalName("fleet")).isSameAs(ClaimMode.values()[0]);
        assertThat(ClaimMode.fromExternalName("server")).isSameAs(ClaimMode.values()[1]);
        assertThatThrownBy(() -> ClaimMode.fromExternalName("other"))
                .isInstanceOf(IllegalArgumentException.class);
    }

    @Test
    void closeCodesKeepTheirExternalNames() {
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
    void requestOutcomesKeepTheirExternalNames() {
        assertThat(Stream.of(RequestOutcome.values()).map(RequestOutcome::externalName))
                .containsExactly("ANSWERED", "FAILED", "SILENT", "GIVEN_UP", "NEVER_BEGUN");
    }

    @Test
    void runStatusesKeepTheirExternalNames() {
        assertThat(Stream.of(RunOutcome.Status.values()).map(RunOutcome.Status::externalName))
                .containsExactly("SUCCEEDED", "ERRORED", "STOPPED", "NOTHING", "NOT_BEGUN");
    }
}
