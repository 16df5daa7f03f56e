/** `spoolplank report FILE...`: explains late and lost requests from the logs of entry VMs. */
import { createReadStream } from 'node:fs';
import { createInterface } from 'node:readline';
import { Args, Command, Flags } from '@oclif/core';
import { SpoolplankError } from '@spoolplank/shared';
import { findCauses } from '../report/requestCauses';
import { renderReport } from '../report/renderReport';
import { readRequestEnd } from '../report/requestLog';
import type { LoggedRequest } from '../report/requestLog';

const DEFAULT_FIRST_EVENT_MS = 500;
const DEFAULT_PAUSE_MS = 200;
const DEFAULT_SPAN_S = 2;

interface ParsedLog {
  readonly requests: readonly LoggedRequest[];
  /** Number of `request-ended` lines that could not be parsed. */
  readonly unreadable: number;
}

async function readLog(file: string): Promise<ParsedLog> {
  const requests: LoggedRequest[] = [];
  let unreadable = 0;
  try {
    const lines = createInterface({ input: createReadStream(file), crlfDelay: Infinity });
    for await (const line of lines) {
      try {
        const request = readRequestEnd(line);
        if (request) requests.push(request);
      } catch (error) {
        if (!(error instanceof SyntaxError)) throw error;
        unreadable += 1;
      }
    }
  } catch (error) {
    throw new SpoolplankError('bad-request', { detail: `${file} cannot be read.`, cause: error });
  }
  return { requests, unreadable };
}

/** Reports the outcomes of requests over time, and their causes, from the logs of entry VMs. */
export class ReportCommand extends Command {
  static override summary = 'Say from logs of entry VMs which requests were late or lost, and why.';

  static override strict = false;

  static override args = {
    files: Args.string({ description: 'Logs of entry VMs.', required: true }),
  };

  static override flags = {
    'first-event-ms': Flags.integer({
      description: 'Time within which an answer, or the first event of a stream, is on time.',
      default: DEFAULT_FIRST_EVENT_MS,
      min: 1,
    }),
    'pause-ms': Flags.integer({
      description: 'Longest pause between events of a stream that is on time.',
      default: DEFAULT_PAUSE_MS,
      min: 1,
    }),
    'span-s': Flags.integer({
      description: 'Seconds of one row.',
      default: DEFAULT_SPAN_S,
      min: 1,
    }),
  };

  async run(): Promise<void> {
    const { argv, flags } = await this.parse(ReportCommand);
    const files = argv as readonly string[];
    const logs = await Promise.all(files.map(readLog));
    const requests = logs.flatMap((log) => log.requests);
    const unreadable = logs.reduce((sum, log) => sum + log.unreadable, 0);
    const targets = { firstEventMs: flags['first-event-ms'], pauseMs: flags['pause-ms'] };
    const causes = findCauses(requests, targets);
    this.log(renderReport({ requests, causes, spanS: flags['span-s'] }));
    if (unreadable > 0) this.log(`${unreadable} lines could not be read`);
  }
}
