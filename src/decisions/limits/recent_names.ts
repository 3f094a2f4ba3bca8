/** Names of late, bounded in number: the oldest is forgotten first. */
export class RecentNames {
  private readonly names = new Set<string>();

  constructor(private readonly most: number) {}

  has(name: string): boolean {
    return this.names.has(name);
  }

  add(name: string): void {
    this.names.add(name);
    const [oldest] = this.names;
    if (this.names.size > this.most && oldest !== undefined) {
      this.names.delete(oldest);
    }
  }
}
