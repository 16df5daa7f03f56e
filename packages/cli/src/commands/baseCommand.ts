/** The flags and the output that commands share. */
import { readFileSync } from 'node:fs';
import { Command, Flags } from '@oclif/core';
import { SpoolplankError } from '@spoolplank/shared';
import type { JsonValue } from '@spoolplank/shared';
import { createOperatorClient } from './operatorClient';
import type { OperatorClient } from './operatorClient';

export const CONNECTION_FLAGS = {
  address: Flags.string({
    description: 'Entry VM as host:port; may be given several times.',
    multiple: true,
    env: 'SPOOLPLANK_ADDRESS',
    required: true,
  }),
  'token-file': Flags.string({
    description: "File with the operators' token; else SPOOLPLANK_OPERATOR_TOKEN is used.",
  }),
  json: Flags.boolean({ description: 'Print JSON.' }),
};

export interface ConnectionFlags {
  readonly address: readonly string[];
  readonly 'token-file'?: string;
  readonly json: boolean;
}

/**
 * Creates a client for the deployment at the addresses in the flags.
 *
 * @throws SpoolplankError `unauthorized` when there is no operator token.
 */
export function connect(flags: ConnectionFlags): OperatorClient {
  const file = flags['token-file'];
  const token =
    file === undefined ? process.env.SPOOLPLANK_OPERATOR_TOKEN : readFileSync(file, 'utf8').trim();
  if (!token) {
    throw new SpoolplankError('unauthorized', {
      detail: 'Set SPOOLPLANK_OPERATOR_TOKEN or give --token-file.',
    });
  }
  return createOperatorClient({
    addresses: flags.address.flatMap((text) => text.split(',')),
    token,
  });
}

export abstract class BaseCommand extends Command {
  protected printJson(value: JsonValue): void {
    this.log(JSON.stringify(value, null, 2));
  }

  /** Prints the value as JSON if requested, else in its readable form. */
  protected print(value: JsonValue, isJson: boolean, render: () => string): void {
    if (isJson) this.printJson(value);
    else this.log(render());
  }
}
