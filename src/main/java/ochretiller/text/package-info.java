/**
 * Parsers of the wire protocols' text: slices of read buffers, JSON, and lines that end in CR LF
 * with counted bodies. All are bounded and hold no threads or sockets; each instance belongs to one
 * caller at a time. Malformed input is reported by {@link ochretiller.text.BadInputException}.
 * Depends on no other package.
 */
package ochretiller.text;
