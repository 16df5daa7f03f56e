/** `npm run golden`: compares sessions with the golden files; `-- --update` rewrites these. */
import { writeFileSync } from 'node:fs';
import { GOLDEN_SCENARIOS, goldenFile, readGolden, startGoldenEnvironment } from './golden';

function describeDifference(before: string, after: string): string {
  const oldLines = before.split('\n');
  const newLines = after.split('\n');
  const count = Math.max(oldLines.length, newLines.length);
  return Array.from({ length: count }, (_unused, index) => index)
    .filter((index) => oldLines[index] !== newLines[index])
    .map((index) => `- ${oldLines[index] ?? ''}\n+ ${newLines[index] ?? ''}`)
    .join('\n');
}

async function main(): Promise<number> {
  const shouldUpdate = process.argv.includes('--update');
  const environment = await startGoldenEnvironment();
  let differingCount = 0;
  try {
    for (const name of Object.keys(GOLDEN_SCENARIOS)) {
      const recorded = await environment.record(name, 'none');
      const golden = readGolden(name);
      if (recorded !== golden) {
        differingCount += 1;
        process.stdout.write(`${name} differs:\n${describeDifference(golden, recorded)}\n`);
        if (shouldUpdate) writeFileSync(goldenFile(name), recorded);
      }
    }
  } finally {
    await environment.stop();
  }
  process.stdout.write(
    `${differingCount} of ${Object.keys(GOLDEN_SCENARIOS).length} sessions differ\n`,
  );
  return differingCount > 0 && !shouldUpdate ? 1 : 0;
}

main()
  .then((code) => process.exit(code))
  .catch((error: unknown) => {
    process.stderr.write(`${String(error)}\n`);
    process.exit(1);
  });
