/** Handles the orders that a stand-in engine receives, and holds its loaded model and weights. */
import type {EngineSettings} from './_engine-options.ts';
import type {EngineOrder, OrderReceipt} from '#core';

/** Effects of an order on the engine beyond its weights. */
export type OrderEffects = Readonly<{clearCache: () => void; startDraining: () => void}>;

/** Accepts and applies orders, with or without a check of their fencing tokens. */
export class EngineOrders {
	/** Accepted orders, oldest first. */
	readonly accepted: EngineOrder[] = [];
	model: string | undefined;
	weights: string | undefined;
	isLoading = false;
	readonly #settings: EngineSettings;
	readonly #effects: OrderEffects;
	#maxFencingToken = 0;
	#lastOrderId = '';

	constructor(settings: EngineSettings, effects: OrderEffects) {
		this.#settings = settings;
		this.#effects = effects;
		this.model = settings.model;
		this.weights = settings.weights;
	}

	/** Accepts or refuses an order. The work that an accepted order starts continues after the receipt. */
	handle(order: EngineOrder): OrderReceipt {
		const {checksFencing} = this.#settings;
		const accepted = !checksFencing || order.fencing >= this.#maxFencingToken;
		if (accepted) {
			this.#maxFencingToken = Math.max(this.#maxFencingToken, order.fencing);
			this.#lastOrderId = order.orderId;
			this.accepted.push(order);
			void this.#apply(order);
		}

		return {accepted, fencing: checksFencing ? this.#maxFencingToken : 0, lastOrderId: this.#lastOrderId};
	}

	async #apply(order: EngineOrder): Promise<void> {
		const handlers: Readonly<Record<EngineOrder['kind'], () => void | Promise<void>>> = {
			load: async () => this.#load(order),
			unload: () => {
				this.weights = undefined;
				this.#effects.clearCache();
			},
			drain: () => {
				this.#effects.startDraining();
			},
			role: () => undefined,
			adapter: () => undefined,
		};
		await handlers[order.kind]();
	}

	async #load(order: EngineOrder): Promise<void> {
		this.isLoading = true;
		await this.#settings.weightStore?.load();
		this.isLoading = false;
		this.model = order.model;
		if (this.weights !== order.value) {
			this.weights = order.value;
			this.#effects.clearCache();
		}
	}
}
