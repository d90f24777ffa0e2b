/**
 * Small stand-ins for the systems around the router: the platform, model
 * engines, plain services and the weight store. Each is a model of behaviour in
 * memory, with a thin HTTP server around it; each fault is one method, so that
 * tests, scenarios, the demo and benches share them.
 */
export {EngineStandin, type EngineOptions} from './engine.ts';
export {ServiceStandin, type ServiceOptions, type Execution} from './service.ts';
export {PlatformStandin, type PlatformOptions} from './platform.ts';
export {WeightStoreStandin, type WeightStoreOptions} from './weight-store.ts';
export {startEngineServer} from './engine-server.ts';
export {startPlatformServer} from './platform-server.ts';
export {startServiceServer} from './service-server.ts';
export {writeAnswerText, countAnswerTokens} from './answer-text.ts';
export {PeerTransportStandin, type PeerTransportOptions} from './peer-transport.ts';
export {PeerNetworkStandin, type PeerNetworkOptions} from './peer-network.ts';
export {ScriptedTarget, type AttemptScript} from './scripted-target.ts';
export {
	startRawTarget, type RawReply, type RawRequest, type RawScript, type RawTarget,
} from './raw-target.ts';
