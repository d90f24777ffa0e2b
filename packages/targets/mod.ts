/** Adapters to targets: engines and plain services over HTTP. docs/WIRE.md states the formats. */
export {createHttpConnector, type HttpConnectorOptions} from './http-connector.ts';
