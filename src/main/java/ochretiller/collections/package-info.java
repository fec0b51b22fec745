/** Collections with an end. */
package ochretiller.collections;
