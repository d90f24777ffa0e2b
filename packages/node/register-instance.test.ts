import t from 'tap';
import {registerInstance} from './_register-instance.ts';
import {ManualClock} from '#clock';
import {PlatformStandin} from '#standins';

t.test('the entry is written again after the store has come back from an older copy', async t => {
	const clock = new ManualClock();
	const platform = new PlatformStandin(clock);
	let epoch: number | undefined;
	const stopping = new AbortController();
	const done = registerInstance({
		store: Object.assign(platform, {getEpoch: () => epoch}), key: 'i/one', value: '1', clock,
	}, stopping.signal);
	await clock.advance(10_000);
	t.equal(platform.served.write, 1);
	epoch = 7;
	await clock.advance(10_000);
	t.equal(platform.served.write, 1, 'the first epoch that the store names');
	epoch = 8;
	platform.setDown(true);
	await clock.advance(10_000);
	platform.setDown(false);
	await clock.advance(10_000);
	t.equal(platform.served.write, 2);
	stopping.abort();
	await clock.advance(2000);
	await done;
});
