import packageDescription from '../../package.json';

/** Version of the program, from package.json. */
export const PROGRAM_VERSION: string = packageDescription.version;
