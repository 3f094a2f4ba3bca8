/** A set of names with bounded size that evicts the earliest added one. */
export class BoundedSet {
  private readonly names = new Set<string>();

  constructor(private readonly maxSize: number) {}

  has(name: string): boolean {
    return this.names.has(name);
  }

  add(name: string): void {
    this.names.add(name);
    const [oldest] = this.names;
    if (this.names.size > this.maxSize && oldest !== undefined) {
      this.names.delete(oldest);
    }
  }

  delete(name: string): void {
    this.names.delete(name);
  }
}
