/** Structured log: one JSON object per line on standard error; never contains keys or prompts. */
import { Logger } from 'tslog';

export type LogLevel = 'debug' | 'info' | 'warn' | 'error';

export type LogFields = Readonly<
  Record<string, string | number | boolean | null | undefined | readonly string[]>
>;

export interface VmLogger {
  debug(event: string, fields?: LogFields): void;
  info(event: string, fields?: LogFields): void;
  warn(event: string, fields?: LogFields): void;
  error(event: string, fields?: LogFields): void;
}

export interface VmLoggerOptions {
  readonly vmId: string;
  readonly level?: LogLevel;
  readonly write?: (line: string) => void;
}

/** Level numbers of tslog. */
const LEVEL_NUMBERS: Readonly<Record<LogLevel, number>> = {
  debug: 2,
  info: 3,
  warn: 4,
  error: 5,
};

interface LogLine extends LogFields {
  readonly event: string;
}

export function createVmLogger(options: VmLoggerOptions): VmLogger {
  const {
    vmId,
    level: minLevel = 'info',
    write = (line: string) => process.stderr.write(line),
  } = options;
  const logger = new Logger<LogLine>({
    type: 'hidden',
    minLevel: LEVEL_NUMBERS[minLevel],
    hideLogPositionForProduction: true,
  });
  logger.attachTransport(({ _meta: meta, ...record }) => {
    const { 0: line } = record as unknown as Readonly<Record<string, LogLine>>;
    const fields = line ?? record;
    if (!meta) return;
    write(
      `${JSON.stringify({
        time: meta.date.toISOString(),
        level: meta.logLevelName.toLowerCase(),
        vmId,
        ...fields,
      })}\n`,
    );
  });
  const logAt =
    (level: LogLevel) =>
    (event: string, fields?: LogFields): void => {
      logger[level]({ event, ...fields });
    };
  return { debug: logAt('debug'), info: logAt('info'), warn: logAt('warn'), error: logAt('error') };
}
