/** Finds the rule for a request: the most specific pattern wins. */

import type {Rule} from '../configuration/index.js';
import {compilePath} from '../configuration/index.js';

interface CompiledRule {
  readonly rule: Rule;
  readonly matches: (path: string) => boolean;
}

/** Longest class of requests a default rule allows, in ms. */
const DEFAULT_DEADLINE_MS = 10_000;

/**
 * The rule for requests that no rule matches: an order, the safe side, since
 * repeating an unknown request might run it twice.
 */
export function defaultRule(service: string): Rule {
  return {
    type: 'rule',
    name: 'default',
    service,
    method: '*',
    path: '/',
    class: 'prompt',
    kind: 'order',
    deadline: DEFAULT_DEADLINE_MS,
    retries: 0,
    hedge: 'off',
    claim: 'required',
  };
}

export class RuleMatcher {
  private readonly compiled: readonly CompiledRule[];
  private readonly fallback: Rule;

  constructor(service: string, rules: readonly Rule[]) {
    this.fallback = defaultRule(service);
    this.compiled = [...rules].sort(bySpecificity).map(rule => ({
      rule,
      matches: compilePath(rule.path),
    }));
  }

  find(method: string, path: string): Rule {
    for (const {rule, matches} of this.compiled) {
      if ((rule.method === '*' || rule.method === method) && matches(path)) {
        return rule;
      }
    }
    return this.fallback;
  }
}

function bySpecificity(a: Rule, b: Rule): number {
  return (
    literalLength(b.path) - literalLength(a.path) ||
    Number(a.method === '*') - Number(b.method === '*') ||
    (a.name < b.name ? -1 : 1)
  );
}

/** Characters before the first variable part. */
function literalLength(pattern: string): number {
  const variable = pattern.search(/[:*{]/);
  return variable < 0 ? pattern.length + 1 : variable;
}
