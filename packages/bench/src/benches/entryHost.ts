/** Runs several entry VMs in one process and prints each settings version that all of them have. */
import { readFileSync } from 'node:fs';
import { startVm } from '@spoolplank/cli';
import type { Vm } from '@spoolplank/cli';
import type { VmSettings } from '@spoolplank/settings';

const POLL_MS = 1;

async function main(file: string): Promise<void> {
  const settings = JSON.parse(readFileSync(file, 'utf8')) as readonly VmSettings[];
  const vms: Vm[] = [];
  for (const vmSettings of settings) vms.push(await startVm(vmSettings, () => process.exit(1)));
  let reported = 0;
  setInterval(() => {
    const version = Math.min(...vms.map((vm) => vm.settingsVersion()));
    if (version > reported) process.stdout.write(`${version}\n`);
    reported = version;
  }, POLL_MS);
}

main(process.argv[2] ?? '').catch((error: unknown) => {
  process.stderr.write(`${String(error)}\n`);
  process.exit(1);
});
