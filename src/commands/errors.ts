import type {LanguageError} from '../language/index.js';

/** A command that cannot be made into a change; the message says what to do. */
export interface CommandError {
  readonly kind: 'exists' | 'missing' | LanguageError['kind'];
  readonly message: string;
}
