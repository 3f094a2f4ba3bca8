/** Names of late, bounded in number: the oldest is forgotten first. */
export class BoundedSet {
  private readonly values = new Set<string>();

  constructor(private readonly maxSize: number) {}

  has(name: string): boolean {
    return this.values.has(name);
  }

  add(name: string): void {
    this.values.add(name);
    const [oldest] = this.values;
    if (this.values.size > this.maxSize && oldest !== undefined) {
      this.values.delete(oldest);
    }
  }
}
