/** Replaces, inserts or removes one to three bytes of a text. */
export function mutateBytes(text: string, random: () => number): string {
  const bytes = [...text];
  const edits = 1 + Math.floor(random() * 3);
  for (let i = 0; i < edits; i += 1) {
    const at = Math.floor(random() * bytes.length);
    const byte = String.fromCharCode(Math.floor(random() * 256));
    const removed = Math.floor(random() * 3);
    bytes.splice(at, removed, ...(random() < 0.7 ? [byte] : []));
  }
  return bytes.join('');
}
