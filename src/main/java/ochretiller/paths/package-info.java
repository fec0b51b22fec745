/**
 * Patterns of paths: read by a parser, matched, and held against one another so that none hides
 * another unseen.
 */
package ochretiller.paths;
