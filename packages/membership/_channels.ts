/** The open channels on the links to neighbours. */
import type {
	ChannelHandler, ChannelPart, ChannelReceiver, Envelope, PeerChannel, PeerLink,
} from '#peer-protocol';

type ChannelEnvelope = Extract<Envelope, {type: 'channel'}>;

/** Receivers of one link's channels by their ids. Each end numbers the channels that it opens. */
type LinkChannels = {nextId: number; readonly opened: Map<number, ChannelReceiver>; readonly accepted: Map<number, ChannelReceiver>};

export class Channels {
	readonly #links = new Map<PeerLink, LinkChannels>();
	#handler: ChannelHandler | undefined;

	setHandler(handler: ChannelHandler): void {
		this.#handler = handler;
	}

	open(link: PeerLink, receiver: ChannelReceiver): PeerChannel {
		const channels = this.#getChannels(link);
		const id = channels.nextId++;
		channels.opened.set(id, receiver);
		return createChannel(link, id, true, channels.opened);
	}

	/** Delivers a part. A request on an unknown channel opens it; any other part there belongs to a channel that this end has closed. */
	handleEnvelope(link: PeerLink, {id, isFromOpener, part}: ChannelEnvelope): void {
		const channels = this.#getChannels(link);
		const receivers = isFromOpener ? channels.accepted : channels.opened;
		let receiver = receivers.get(id);
		if (!receiver && isFromOpener && part.kind === 'request' && this.#handler) {
			receiver = this.#handler(createChannel(link, id, false, receivers));
			receivers.set(id, receiver);
		}

		receiver?.handlePart(part);
	}

	/** Whether any channel on a link is open, whichever end has opened it. */
	hasOpen(link: PeerLink): boolean {
		const channels = this.#links.get(link);
		return channels !== undefined && channels.opened.size + channels.accepted.size > 0;
	}

	/** Ends all channels of a link that has closed. */
	abortAll(link: PeerLink): void {
		const channels = this.#links.get(link);
		this.#links.delete(link);
		for (const receiver of [...channels?.opened.values() ?? [], ...channels?.accepted.values() ?? []]) {
			receiver.handleLost();
		}
	}

	#getChannels(link: PeerLink): LinkChannels {
		let channels = this.#links.get(link);
		if (!channels) {
			channels = {nextId: 0, opened: new Map(), accepted: new Map()};
			this.#links.set(link, channels);
		}

		return channels;
	}
}

function createChannel(link: PeerLink, id: number, isFromOpener: boolean, receivers: Map<number, ChannelReceiver>): PeerChannel {
	return {
		peer: link.peer!,
		getSilenceMs: () => link.silenceMs,
		send(part: ChannelPart) {
			link.send({
				type: 'channel', id, isFromOpener, part,
			}, false);
		},
		close() {
			receivers.delete(id);
		},
	};
}
