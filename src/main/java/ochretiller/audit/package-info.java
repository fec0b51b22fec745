/**
 * What a server acted on and when, kept so that a gap, an edit or a lost tail is seen: records, the
 * chain of hashes that ties them, and what can be answered from the records of several servers.
 * Pure; files and packets are others' work.
 */
package ochretiller.audit;
