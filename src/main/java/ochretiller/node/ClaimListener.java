package ochretiller.node;

/** Receives the decision on a claim; exactly one method is called, once. Event loop thread. */
interface ClaimListener {
    /** This server, and no other, may run the invocation. */
    void onClaimGranted();

    /** The invocation must not run here; unless it is to be throttled, its client was answered. */
    void onClaimDenied();
}
