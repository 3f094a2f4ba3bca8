import type {LanguageError} from '../language/index.js';

/** A command that can't be part of a change; the message includes a remedy. */
export interface CommandError {
  readonly kind: 'exists' | 'missing' | LanguageError['kind'];
  readonly message: string;
}
