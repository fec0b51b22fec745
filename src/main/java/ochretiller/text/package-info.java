/** The project's own parsers: slices of read buffers, JSON, and CR LF lines with counted bodies. */
package ochretiller.text;
