/** Builds `target/spoolplank-platform.cjs`, the bundle that runs on the users' platform. */
import { mkdirSync } from 'node:fs';
import { build } from 'esbuild';

mkdirSync('target', { recursive: true });
await build({
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  logLevel: 'warning',
  minifySyntax: true,
  minifyWhitespace: true,
  entryPoints: ['platform/src/main.ts'],
  outfile: 'target/spoolplank-platform.cjs',
});
