import {defineConfig} from 'vitest/config';

export default defineConfig({
  test: {
    include: ['tests/**/*.test.ts'],
    testTimeout: 60_000,
    // Its modules import folders, which Node's own loader refuses.
    server: {deps: {inline: ['clipanion']}},
  },
});
