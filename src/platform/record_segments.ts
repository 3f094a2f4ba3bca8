/**
 * Splits the JSON of a configuration into its resources, and finds those that are
 * unchanged by comparing their text with that of the previous configuration.
 */

import type {Fields} from './fields.js';

/** The list of resources of a configuration that was decoded. */
export interface ResourceList<T> {
  /** JSON of the whole configuration. */
  readonly text: string;
  /** Where the JSON of each resource starts and ends. */
  readonly starts: readonly number[];
  readonly ends: readonly number[];
  readonly decoded: readonly T[];
}

export interface SplitRecord<T> {
  /** The record with an empty list of resources. */
  readonly skeleton: string;
  readonly list: ResourceList<T>;
}

export function emptyList<T>(): ResourceList<T> {
  return {text: '', starts: [], ends: [], decoded: []};
}

/** Start of the list, unless the quotation mark is part of a string. */
const LIST_START = /(?<!\\)"resources"\s*:\s*\[/;
/** Stands for the resources, to recognise the list in the parsed record. */
const MARK = 0.8164;
/**
 * Resources that are compared at once, as one piece of text: comparing 10,000 of them one
 * by one took 24 ms, in large pieces 0.3 ms.
 */
const MAX_RUN = 512;
/**
 * Previous resources that are compared at each place. After resources that were inserted,
 * removed or changed, the following ones are found again if these are fewer.
 */
const WINDOW = 8;
/** White space in JSON. */
const SPACES: ReadonlySet<string> = new Set([' ', '\n', '\r', '\t']);

/**
 * Undefined if the record isn't valid or can't be split: then it must be decoded as a
 * whole, which also finds the error.
 */
export function splitRecord<T>(
  record: string,
  previous: ResourceList<T>,
  decode: (resource: Fields) => T,
): SplitRecord<T> | undefined {
  const start = LIST_START.exec(record);
  if (!start) {
    return undefined;
  }
  const from = start.index + start[0].length;
  const splitter = new ListSplitter(record, previous, decode);
  try {
    const end = splitter.split(from);
    if (end === undefined) {
      return undefined;
    }
    const head = record.slice(0, from);
    const tail = record.slice(end);
    const isWholeList = isMarked(JSON.parse(`${head}${MARK}${tail}`));
    return isWholeList
      ? {skeleton: `${head}${tail}`, list: splitter.list}
      : undefined;
  } catch {
    // A resource is invalid.
    return undefined;
  }
}

/** Whether the list that was split is the one that counts: keys may occur twice or nested. */
function isMarked(parsed: unknown): boolean {
  const {resources} = parsed as {resources?: unknown};
  return (
    Array.isArray(resources) && resources.length === 1 && resources[0] === MARK
  );
}

class ListSplitter<T> {
  private readonly starts: number[] = [];
  private readonly ends: number[] = [];
  private readonly decoded: T[] = [];
  /** The first previous resource that may follow. */
  private next = 0;
  private misses = 0;

  constructor(
    private readonly record: string,
    private readonly previous: ResourceList<T>,
    private readonly decode: (resource: Fields) => T,
  ) {}

  get list(): ResourceList<T> {
    const {record: text, starts, ends, decoded} = this;
    return {text, starts, ends, decoded};
  }

  /** Returns the position of the closing bracket; undefined if the list isn't valid. */
  split(from: number): number | undefined {
    const {record} = this;
    let at = skipSpaces(record, from);
    while (record[at] === '{') {
      at = skipSpaces(record, this.reuse(at) ?? this.parse(at));
      if (record[at] !== ',') {
        break;
      }
      at = skipSpaces(record, at + 1);
      if (record[at] !== '{') {
        return undefined;
      }
    }
    return record[at] === ']' ? at : undefined;
  }

  /** Takes over previous resources with the same text; returns where they end, if any. */
  private reuse(at: number): number | undefined {
    const last = Math.min(this.next + WINDOW, this.previous.starts.length);
    for (let first = this.next; first < last; first += 1) {
      const count = this.countEqual(first, at);
      if (count > 0) {
        this.misses = 0;
        this.next = first + count;
        return this.copy(first, count, at);
      }
    }
    this.misses += 1;
    this.next += this.misses >= WINDOW ? 1 : 0;
    return undefined;
  }

  /** Counts previous resources, from `first` on, whose text is at this position. */
  private countEqual(first: number, at: number): number {
    const {starts} = this.previous;
    let count = this.isEqual(first, 1, at) ? 1 : 0;
    let run = count > 0 ? MAX_RUN : 0;
    while (run > 0) {
      const isLonger =
        first + count + run <= starts.length &&
        this.isEqual(
          first + count,
          run,
          at + this.offset(first, first + count),
        );
      count += isLonger ? run : 0;
      run = isLonger ? run : Math.floor(run / 2);
    }
    return count;
  }

  /** Compares the text from one resource to another, with what is between them. */
  private isEqual(first: number, count: number, at: number): boolean {
    const {text, starts, ends} = this.previous;
    const from = starts[first] ?? 0;
    const to = ends[first + count - 1] ?? 0;
    return text.slice(from, to) === this.record.slice(at, at + to - from);
  }

  private offset(from: number, to: number): number {
    const {starts} = this.previous;
    return (starts[to] ?? 0) - (starts[from] ?? 0);
  }

  private copy(first: number, count: number, at: number): number {
    const {starts, ends, decoded} = this.previous;
    const shift = at - (starts[first] ?? 0);
    for (let index = first; index < first + count; index += 1) {
      this.starts.push((starts[index] ?? 0) + shift);
      this.ends.push((ends[index] ?? 0) + shift);
      this.decoded.push(decoded[index] as T);
    }
    return this.ends.at(-1) ?? at;
  }

  private parse(at: number): number {
    const end = endOfObject(this.record, at);
    const resource = JSON.parse(this.record.slice(at, end)) as Fields;
    this.decoded.push(this.decode(resource));
    this.starts.push(at);
    this.ends.push(end);
    return end;
  }
}

function skipSpaces(record: string, from: number): number {
  let at = from;
  while (SPACES.has(record[at] ?? '')) {
    at += 1;
  }
  return at;
}

const QUOTE = 0x22;
const BACKSLASH = 0x5c;
const OPENING_BRACE = 0x7b;
const CLOSING_BRACE = 0x7d;

/** Position after the object that starts at `from`; the end of the record without one. */
function endOfObject(record: string, from: number): number {
  let depth = 0;
  let isInString = false;
  for (let at = from; at < record.length; at += 1) {
    const code = record.charCodeAt(at);
    if (code === QUOTE) {
      isInString = !isInString;
    } else if (isInString) {
      // Skips the character after a backslash, which may be a quotation mark.
      at += code === BACKSLASH ? 1 : 0;
    } else if (code === OPENING_BRACE) {
      depth += 1;
    } else if (code === CLOSING_BRACE) {
      depth -= 1;
      if (depth === 0) {
        return at + 1;
      }
    }
  }
  return record.length;
}
