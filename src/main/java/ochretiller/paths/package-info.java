/**
 * Path patterns of routes: parsing, matching, and comparison, which detects patterns that hide each
 * other.
 */
package ochretiller.paths;
