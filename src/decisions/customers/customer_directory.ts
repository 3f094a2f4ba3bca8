/** Finds the customer that holds a key. */

import type {Customer} from './types.js';

export class CustomerDirectory {
  private customers: readonly Customer[] = [];
  private readonly byName = new Map<string, Customer>();
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

  /**
   * Replaces the customers. Only the keys of those that changed are indexed again: a
   * configuration with thousands of customers would otherwise block the event loop with
   * each of its versions.
   */
  replace(customers: readonly Customer[]): void {
    const changed = customers.filter(
      (one, index) =>
        // In most cases the same object is at the same place.
        one !== this.customers[index] &&
        !isSame(one, this.byName.get(one.name)),
    );
    const removed = this.findRemoved(customers, changed);
    const replaced = changed.flatMap(({name}) => this.byName.get(name) ?? []);
    for (const {name, keys} of [...removed, ...replaced]) {
      keys.forEach(key => this.byKey.delete(key));
      this.byName.delete(name);
    }
    // After all deletions: a key may move from one customer to another.
    for (const customer of changed) {
      customer.keys.forEach(key => this.byKey.set(key, customer));
      this.byName.set(customer.name, customer);
    }
    this.customers = customers;
  }

  /** Customers that are no longer there, neither changed nor unchanged. */
  private findRemoved(
    customers: readonly Customer[],
    changed: readonly Customer[],
  ): readonly Customer[] {
    const added = changed.filter(({name}) => !this.byName.has(name));
    if (this.byName.size + added.length === customers.length) {
      return [];
    }
    const names = new Set(customers.map(({name}) => name));
    return [...this.byName.values()].filter(({name}) => !names.has(name));
  }
}

function isSame(one: Customer, other: Customer | undefined): boolean {
  if (one === other) {
    return true;
  }
  return (
    other !== undefined &&
    one.priority === other.priority &&
    one.quota?.ratePerSecond === other.quota?.ratePerSecond &&
    one.quota?.burst === other.quota?.burst &&
    one.keys.length === other.keys.length &&
    one.keys.every((key, index) => key === other.keys[index])
  );
}
