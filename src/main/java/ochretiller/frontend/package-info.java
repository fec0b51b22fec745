/**
 * What all fronts share, whatever their protocol: the connections of callers, the requests that are
 * open on them, who goes first where many are open, silence, vanished callers, leaving. A front
 * adds one package that turns bytes into {@link ochretiller.frontend.RequestAttempt}s and ends into bytes.
 */
package ochretiller.frontend;
