/** Finds the customer that holds a key. */

import type {Customer} from './types.js';

export class CustomerDirectory {
  private customers: readonly Customer[] = [];
  private byName = new Map<string, Customer>();
  private readonly byKey = new Map<string, Customer>();

  /** Whether the configuration has no customers, so that requests need no key. */
  get isEmpty(): boolean {
    return this.byName.size === 0;
  }

  get all(): readonly Customer[] {
    return this.customers;
  }

  findByKey(key: string): Customer | undefined {
    return this.byKey.get(key);
  }

  findByName(name: string): Customer | undefined {
    return this.byName.get(name);
  }

  /**
   * Replaces the customers. Only the keys of those that changed are indexed again: a
   * configuration with thousands of customers would otherwise block the event loop with
   * each of its versions.
   */
  replace(customers: readonly Customer[]): void {
    const byName = new Map(customers.map(one => [one.name, one]));
    const changed = customers.filter(
      one => !isSame(one, this.byName.get(one.name)),
    );
    for (const [name, before] of this.byName) {
      const after = byName.get(name);
      if (!after || !isSame(after, before)) {
        before.keys.forEach(key => this.byKey.delete(key));
      }
    }
    // After all deletions: a key may move from one customer to another.
    for (const customer of changed) {
      customer.keys.forEach(key => this.byKey.set(key, customer));
    }
    this.customers = customers;
    this.byName = byName;
  }
}

function isSame(one: Customer, other: Customer | undefined): boolean {
  return (
    other !== undefined &&
    one.priority === other.priority &&
    one.quota?.ratePerSecond === other.quota?.ratePerSecond &&
    one.quota?.burst === other.quota?.burst &&
    one.keys.length === other.keys.length &&
    one.keys.every((key, index) => key === other.keys[index])
  );
}
