/**
 * The decision module: what is let in, in what order it runs, what is turned away. It knows no
 * sockets, files or clocks.
 */
package ochretiller.admission;
