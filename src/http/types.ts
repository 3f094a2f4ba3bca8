/** The side of a connection from which a body is read. */
export interface BodyInput {
  /** Keeps the connection from being read; returns a function that ends this. */
  readonly hold: () => () => void;
  /** Notes that a part of the body was taken over: what is read next is no head. */
  readonly noteBody: () => void;
}
