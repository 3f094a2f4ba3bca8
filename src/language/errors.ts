import type {Location} from './types.js';

/** A syntax error, an unknown attribute or an invalid attribute value. */
export interface LanguageError {
  readonly kind: 'syntax' | 'unknown-attribute' | 'invalid-value';
  readonly location: Location;
  /** Includes the location, what was expected and the nearest valid word. */
  readonly message: string;
}
