/**
 * Takes SIGHUP from the first moment on; import it before all else.
 *
 * Without a handler SIGHUP ends a process. Settings that change while a host
 * starts would end it: it doesn't serve, and nobody asked it to stop.
 */

process.on('SIGHUP', () => undefined);
