/** The port between the decisions and whatever server carries them out. */
package ochretiller.server;
