/** Keeps a connection from being read; returns a function that ends this. */
export type InputHold = () => () => void;
