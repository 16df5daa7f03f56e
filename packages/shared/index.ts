export * from './src/clock';
export * from './src/errors';
export * from './src/findings';
export * from './src/json';
export * from './src/random';
export * from './src/rendezvous';
export * from './src/textTable';
