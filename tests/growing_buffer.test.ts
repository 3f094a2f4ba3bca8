import fc from 'fast-check';
import {expect, test} from 'vitest';
import {GrowingBuffer} from '../src/http/index.js';

const pieces = fc.array(fc.uint8Array({maxLength: 3_000}), {maxLength: 30});

test('what is appended comes out whole, whatever size was expected', () => {
  fc.assert(
    fc.property(pieces, fc.nat(20_000), (parts, expectedBytes) => {
      const buffer = new GrowingBuffer(expectedBytes);
      parts.forEach(part => buffer.append(Buffer.from(part)));
      const whole = Buffer.concat(parts);
      expect(buffer.length).toBe(whole.length);
      expect(buffer.toBuffer().equals(whole)).toBe(true);
    }),
  );
});

test('what was taken stays as it was', () => {
  const buffer = new GrowingBuffer();
  buffer.append(Buffer.from('one'));
  const taken = buffer.take();
  buffer.append(Buffer.from('two'));
  expect([taken.toString(), buffer.toBuffer().toString()]).toEqual([
    'one',
    'two',
  ]);
});
