/** The weights that a stand-in engine has loaded, and the orders that change them. */
import type {EngineSettings} from './_engine-options.ts';
import type {EngineOrder, OrderReceipt} from '#core';

/** What an order does to the engine besides its weights. */
export type OrderEffects = Readonly<{clearCache: () => void; leave: () => void}>;

/** Obeys orders, with or without a check of their fencing numbers. */
export class EngineOrders {
	/** Orders that took effect, oldest first. */
	readonly taken: EngineOrder[] = [];
	model: string | undefined;
	weights: string | undefined;
	loading = false;
	readonly #settings: EngineSettings;
	readonly #effects: OrderEffects;
	#fencing = 0;
	#lastOrderId = '';

	constructor(settings: EngineSettings, effects: OrderEffects) {
		this.#settings = settings;
		this.#effects = effects;
		this.model = settings.model;
		this.weights = settings.weights;
	}

	/** Takes or refuses an order; what it starts goes on afterwards. */
	take(order: EngineOrder): OrderReceipt {
		const {checksFencing} = this.#settings;
		const accepted = !checksFencing || order.fencing >= this.#fencing;
		if (accepted) {
			this.#fencing = Math.max(this.#fencing, order.fencing);
			this.#lastOrderId = order.orderId;
			this.taken.push(order);
			void this.#obey(order);
		}

		return {accepted, fencing: checksFencing ? this.#fencing : 0, lastOrderId: this.#lastOrderId};
	}

	async #obey(order: EngineOrder): Promise<void> {
		const handlers: Readonly<Record<EngineOrder['kind'], () => void | Promise<void>>> = {
			load: async () => this.#load(order),
			unload: () => {
				this.weights = undefined;
				this.#effects.clearCache();
			},
			drain: () => {
				this.#effects.leave();
			},
			role: () => undefined,
			adapter: () => undefined,
		};
		await handlers[order.kind]();
	}

	async #load(order: EngineOrder): Promise<void> {
		this.loading = true;
		await this.#settings.weightStore?.load();
		this.loading = false;
		this.model = order.model;
		if (this.weights !== order.value) {
			this.weights = order.value;
			this.#effects.clearCache();
		}
	}
}
