/** Divides the memory and the descriptors of a host's machine among what it holds. */

const BYTES_PER_MB = 1024 * 1024;
/**
 * The program and its heap, and what isn't in use but not free either: V8 collects buffers
 * once they have grown by 64 MB, and the allocator keeps parts of what they leave.
 */
const PROGRAM_MB = 165;
/** On a machine that is too small for the program. */
const MIN_AVAILABLE_MB = 24;
const BODIES_SHARE = 0.35;
const RESPONSES_SHARE = 0.25;
const MAX_BODIES_MB = 24;
/** 16 of the largest that are buffered. */
const MAX_RESPONSES_MB = 16;
/** The others are for upstreams, other hosts and the store. */
const CALLER_DESCRIPTORS_SHARE = 0.5;

export interface MachineSize {
  readonly memoryMb: number;
  readonly maxDescriptors: number;
}

export interface HostLimits {
  /** Connections of callers. */
  readonly maxConnections: number;
  /** Memory for what connections of callers have unparsed, unanswered and unsent. */
  readonly connectionBytes: number;
  /** Memory for request bodies. */
  readonly bodyBytes: number;
  /** Memory for responses that are buffered until they are complete. */
  readonly responseBytes: number;
}

export function limitsOf({memoryMb, maxDescriptors}: MachineSize): HostLimits {
  const available = Math.max(MIN_AVAILABLE_MB, memoryMb - PROGRAM_MB);
  const bodies = Math.min(MAX_BODIES_MB, BODIES_SHARE * available);
  const responses = Math.min(MAX_RESPONSES_MB, RESPONSES_SHARE * available);
  return {
    maxConnections: Math.floor(CALLER_DESCRIPTORS_SHARE * maxDescriptors),
    connectionBytes: (available - bodies - responses) * BYTES_PER_MB,
    bodyBytes: bodies * BYTES_PER_MB,
    responseBytes: responses * BYTES_PER_MB,
  };
}
