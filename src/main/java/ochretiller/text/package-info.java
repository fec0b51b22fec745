/**
 * Parsers for text protocols: slices of read buffers, JSON, and lines that end in CR LF, with
 * bodies of a given length. All limit the size of their input and use no threads or sockets. Not
 * thread-safe. Malformed input is reported by {@link ochretiller.text.BadInputException}. Depends
 * on no other package.
 */
package ochretiller.text;
