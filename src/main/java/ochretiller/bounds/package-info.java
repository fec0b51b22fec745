/** Collections with an end. */
package ochretiller.bounds;
