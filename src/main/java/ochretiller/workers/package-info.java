/**
 * Runs carried out by uwsgi workers: connections, answers and time-outs. Which worker gets what is
 * decided in {@code pools}.
 */
package ochretiller.workers;
