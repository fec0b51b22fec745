/**
 * Numbered epochs that a majority of named voters has agreed on: which servers keep copies of which
 * ranges of tokens. Pure decisions; what is promised is on disk before it is said, which is the
 * host's to carry out.
 */
package ochretiller.fleet.consensus;
