/**
 * In-memory test doubles of the systems around the router: the platform, model
 * engines, plain services, the weight store and the network between instances.
 * The platform, engines and services can also be served over HTTP. Each fault is
 * one method, so that tests, scenarios, the demo and benchmarks share it.
 */
export {EngineStandin, type EngineOptions} from './engine.ts';
export {ServiceStandin, type ServiceOptions, type Execution} from './service.ts';
export {PlatformStandin, type PlatformOptions} from './platform.ts';
export {WeightStoreStandin, type WeightStoreOptions} from './weight-store.ts';
export {startEngineServer} from './engine-server.ts';
export {startPlatformServer} from './platform-server.ts';
export {startServiceServer} from './service-server.ts';
export {createAnswerSlices, countAnswerTokens} from './answer-text.ts';
export {PeerTransportStandin, type PeerTransportOptions} from './peer-transport.ts';
export {PeerNetworkStandin, type PeerNetworkOptions} from './peer-network.ts';
export {ScriptedTarget, type AttemptScript} from './scripted-target.ts';
export {
	startRawTarget, type RawReply, type RawRequest, type RawScript, type RawTarget,
} from './raw-target.ts';
export {listBrokenHeads, listJoinedHeads} from './broken-heads.ts';
export {LinkSwitch, type LinkFault} from './link-switch.ts';
