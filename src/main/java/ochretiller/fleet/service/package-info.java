/**
 * Bytes between peers: one envelope, one codec, datagrams on a socket of their own, bounds at the
 * door. Nothing is decided here.
 */
package ochretiller.fleet.service;
