/** The gateway: decides by the active configuration which of the callers' HTTP requests may run. */
export {
	Gateway, type AcceptedRequest, type GatewayDependencies, type RequestHead,
} from './gateway.ts';
