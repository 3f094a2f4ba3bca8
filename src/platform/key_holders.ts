/** Checks that no two customers of a configuration have the same name or key. */

import type {Customer} from '../decisions/customers/index.js';

export class KeyHolders {
  private customers: readonly Customer[] = [];
  private readonly names = new Set<string>();
  private readonly holders = new Map<string, string>();

  /**
   * Replaces the customers. Those before the first and after the last one that is another
   * object than before aren't checked again.
   *
   * @return false if names or keys are not unique; this object must not be used then
   */
  replace(customers: readonly Customer[]): boolean {
    const before = this.customers;
    this.customers = customers;
    const most = Math.min(before.length, customers.length);
    const head = countWhile(most, at => before[at] === customers[at]);
    const tail = countWhile(
      most - head,
      at => before.at(-1 - at) === customers.at(-1 - at),
    );
    before
      .slice(head, before.length - tail)
      .forEach(customer => this.remove(customer));
    return customers
      .slice(head, customers.length - tail)
      .every(customer => this.add(customer));
  }

  private remove({name, keys}: Customer): void {
    this.names.delete(name);
    keys.forEach(key => this.holders.delete(key));
  }

  private add({name, keys}: Customer): boolean {
    if (this.names.has(name)) {
      return false;
    }
    this.names.add(name);
    return keys.every(key => {
      const holder = this.holders.get(key) ?? name;
      this.holders.set(key, name);
      return holder === name;
    });
  }
}

function countWhile(most: number, holds: (at: number) => boolean): number {
  let count = 0;
  while (count < most && holds(count)) {
    count += 1;
  }
  return count;
}
