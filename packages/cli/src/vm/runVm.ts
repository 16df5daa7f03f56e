/** Runs a VM from its settings file until it receives SIGTERM or SIGINT. */
import { readFileSync } from 'node:fs';
import { collectVmFindings, parseJson } from '@spoolplank/settings';
import type { Role, VmSettings } from '@spoolplank/settings';
import { formatFindings, SpoolplankError } from '@spoolplank/shared';
import { startVm } from './vm';

export const EXIT_CODES = {
  ok: 0,
  failed: 1,
  usage: 2,
  invalidSettings: 3,
  conflict: 4,
  unreachable: 5,
} as const;

/**
 * Reads and validates the settings file of a VM.
 *
 * @throws SpoolplankError `invalid-settings` with all findings, or if the file cannot be read.
 */
export function readVmSettings(file: string): VmSettings {
  let text: string;
  try {
    text = readFileSync(file, 'utf8');
  } catch (error) {
    throw new SpoolplankError('invalid-settings', {
      detail: `${file} cannot be read.`,
      cause: error,
    });
  }
  const value = parseJson(text, file);
  const findings = collectVmFindings(value, file);
  if (findings.length) throw new SpoolplankError('invalid-settings', { findings });
  return value as VmSettings;
}

function reportAndExit(error: unknown): never {
  const findings = error instanceof SpoolplankError ? error.findings : [];
  const message = error instanceof Error ? error.message : String(error);
  process.stderr.write(`${findings.length ? formatFindings(findings) : message}\n`);
  const isInvalidSettings = error instanceof SpoolplankError && error.code === 'invalid-settings';
  process.exit(isInvalidSettings ? EXIT_CODES.invalidSettings : EXIT_CODES.failed);
}

/** Runs the VM of a settings file. The first signal ends it gracefully, the second at once. */
export async function runVm(file: string, requiredRole: Role): Promise<void> {
  try {
    const settings = readVmSettings(file);
    if (!settings.vm.roles.includes(requiredRole)) {
      const finding = {
        source: file,
        pointer: '/vm/roles',
        problem: `the role ${requiredRole} is missing`,
        expected: requiredRole,
      };
      throw new SpoolplankError('invalid-settings', { findings: [finding] });
    }
    const vm = await startVm(settings, reportAndExit);
    let signals = 0;
    const onSignal = () => {
      signals += 1;
      const stopped = signals === 1 ? vm.shutDown() : vm.stopNow();
      stopped.then(() => process.exit(EXIT_CODES.ok)).catch(reportAndExit);
    };
    process.on('SIGTERM', onSignal);
    process.on('SIGINT', onSignal);
  } catch (error) {
    reportAndExit(error);
  }
}
