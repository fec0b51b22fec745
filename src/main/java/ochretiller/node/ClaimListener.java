package ochretiller.node;

/** Receives the decision on a claim; one of the two methods is called, once. Event loop thread. */
interface ClaimListener {
    /** This server, and no other, may run the invocation. */
    void onClaimGranted();

    /** The invocation must not run here; if the fleet knew an answer, the client has it. */
    void onClaimDenied();
}
