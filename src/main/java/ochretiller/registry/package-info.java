/** Reports to the roster, which tells gateways about servers. */
package ochretiller.registry;
