import {defineConfig} from 'vitest/config';

export default defineConfig({
  test: {
    include: ['tests/**/*.test.ts'],
    testTimeout: 60_000,
    globalSetup: ['tests/support/print_known_red.ts'],
    setupFiles: ['tests/support/skip_known_red.ts'],
    // Its modules import folders, which Node's own loader refuses.
    server: {deps: {inline: ['clipanion']}},
  },
});
