/** The gateway: which of callers' HTTP requests may run, by the configuration in force. */
export {
	Gateway, type AcceptedRequest, type GatewayDeps, type RequestHead,
} from './gateway.ts';
