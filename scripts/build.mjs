/**
 * Builds `dist/spoolplank`, a single executable application (the bundle in a copy of the Node.js
 * binary), and `dist/fakes.cjs`.
 */
import { execFileSync } from 'node:child_process';
import { chmodSync, copyFileSync, mkdirSync, renameSync, writeFileSync } from 'node:fs';
import { build } from 'esbuild';

const COMMON = {
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  logLevel: 'warning',
};
const SENTINEL = 'NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2';

mkdirSync('dist', { recursive: true });
await build({
  ...COMMON,
  entryPoints: ['packages/cli/src/main.ts'],
  outfile: 'dist/spoolplank.cjs',
  minify: true,
  external: ['typescript', 'ts-node'],
  // Inside the executable `require` resolves built-in modules only and warns about all others.
  banner: { js: "require = require('node:module').createRequire(process.execPath);" },
});
await build({ ...COMMON, entryPoints: ['packages/fakes/src/main.ts'], outfile: 'dist/fakes.cjs' });

const seaConfig = {
  main: 'dist/spoolplank.cjs',
  output: 'dist/spoolplank.blob',
  disableExperimentalSEAWarning: true,
  useCodeCache: true,
};
writeFileSync('dist/sea-config.json', JSON.stringify(seaConfig));
execFileSync(process.execPath, ['--experimental-sea-config', 'dist/sea-config.json'], {
  stdio: 'pipe',
});
copyFileSync(process.execPath, 'dist/spoolplank.tmp');
chmodSync('dist/spoolplank.tmp', 0o755);
execFileSync(
  process.execPath,
  [
    'node_modules/postject/dist/cli.js',
    'dist/spoolplank.tmp',
    'NODE_SEA_BLOB',
    'dist/spoolplank.blob',
    '--sentinel-fuse',
    SENTINEL,
  ],
  { stdio: 'pipe' },
);
renameSync('dist/spoolplank.tmp', 'dist/spoolplank');
process.stdout.write('built dist/spoolplank\n');
