/**
 * Logs unknown headers in upstream responses, each name once, so that operators
 * can see headers that hosts would otherwise ignore silently.
 */

import type {IncomingHttpHeaders} from 'node:http';
import type {Logger} from 'pino';
import {COMMON_RESPONSE_HEADERS} from '../http/index.js';
import {PLATFORM_HEADERS} from '../platform/index.js';

/** Bounds log volume and memory when an upstream sends many distinct names. */
const MAX_LOGGED_NAMES = 32;
const MAX_LOGGED_CHARACTERS = 64;

export class UnknownHeaders {
  private readonly loggedNames = new Set<string>();

  constructor(private readonly logger: Logger) {}

  note(upstream: string, headers: IncomingHttpHeaders): void {
    for (const name of Object.keys(headers).filter(isUnknown)) {
      if (
        this.loggedNames.has(name) ||
        this.loggedNames.size >= MAX_LOGGED_NAMES
      ) {
        continue;
      }
      this.loggedNames.add(name);
      this.logger.warn(
        {
          event: 'unknown-header',
          upstream,
          header: name.slice(0, MAX_LOGGED_CHARACTERS),
          value: String(headers[name]).slice(0, MAX_LOGGED_CHARACTERS),
        },
        'unknown header in an upstream response',
      );
    }
  }
}

function isUnknown(name: string): boolean {
  return !COMMON_RESPONSE_HEADERS.has(name) && !PLATFORM_HEADERS.has(name);
}
