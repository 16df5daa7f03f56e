export * from './src/announcer';
export * from './src/tcpProxy';
export * from './src/engine';
export * from './src/engineOptions';
export * from './src/plainService';
export * from './src/textModel';
export * from './src/weightStore';
