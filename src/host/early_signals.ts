/**
 * Ignores SIGHUP from the start of the process; import it before all else.
 *
 * Without a handler SIGHUP ends a process, so that a change of settings while a host
 * starts would end it, although nobody asked it to stop.
 */

process.on('SIGHUP', () => undefined);
