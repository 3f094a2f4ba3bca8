/** Whether two sets hold the same names. */
export function haveSameNames(
  some: ReadonlySet<string>,
  others: ReadonlySet<string>,
): boolean {
  return some.size === others.size && [...some].every(name => others.has(name));
}
