import type {Location} from './types.js';

/** A text that is not a statement of the language, or names what isn't one. */
export interface LanguageError {
  readonly kind: 'syntax' | 'unknown-attribute' | 'invalid-value';
  readonly location: Location;
  /** Says where, what was expected, and the nearest valid word. */
  readonly message: string;
}
