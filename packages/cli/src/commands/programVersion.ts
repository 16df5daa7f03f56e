import packageDescription from '../../package.json';

/** Version of the program, from its package description. */
export const PROGRAM_VERSION: string = packageDescription.version;
