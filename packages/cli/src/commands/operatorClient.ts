/** HTTP client for the operator requests of the command line. */
import { callJson, parseAddress } from '@spoolplank/node';
import { fromErrorBody, SpoolplankError } from '@spoolplank/shared';
import type { JsonValue } from '@spoolplank/shared';

export interface OperatorClientOptions {
  /** Addresses of entry VMs as host:port; the first reachable one is used. */
  readonly addresses: readonly string[];
  readonly token: string;
}

export interface OperatorClient {
  get(path: string): Promise<JsonValue>;
  post(path: string, json: JsonValue): Promise<JsonValue>;
}

const TIMEOUT_MS = 12_000;

export function createOperatorClient({ addresses, token }: OperatorClientOptions): OperatorClient {
  async function callAddress(
    address: string,
    method: string,
    path: string,
    json?: JsonValue,
  ): Promise<JsonValue> {
    const answer = await callJson({
      endpoint: parseAddress(address),
      method,
      path,
      json,
      timeoutMs: TIMEOUT_MS,
      headers: { authorization: `Bearer ${token}` },
    });
    if (answer.status !== 200) throw fromErrorBody(answer.json);
    return answer.json;
  }

  /** Tries the next address if one is unreachable; all operator requests are safe to repeat. */
  async function call(method: string, path: string, json?: JsonValue): Promise<JsonValue> {
    let lastError = new SpoolplankError('unreachable', { detail: 'No address was given.' });
    for (const address of addresses) {
      try {
        return await callAddress(address, method, path, json);
      } catch (error) {
        if (!(error instanceof SpoolplankError) || error.code !== 'unreachable') throw error;
        lastError = error;
      }
    }
    throw lastError;
  }

  return {
    get: (path) => call('GET', path),
    post: (path, json) => call('POST', path, json),
  };
}
