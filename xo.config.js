/** Lint and format rules: XO's own, less the few that the house style overrides. */
const config = [
	{
		ignores: ['dist/**', '.tap/**', 'coverage/**'],
	},
	{
		rules: {
			// The house style asks for the customary short names of the field (`ctx`, `err`, `ms`, `req`).
			'unicorn/prevent-abbreviations': 'off',
			// The house style keeps snake_case where a wire format or a counter's label has it.
			'@typescript-eslint/naming-convention': 'off',
			// Style: one main export a file with `snake_case`-free names, private files marked `_`.
			'unicorn/filename-case': 'off',
			// The subpath imports (`#core`) are resolved by TypeScript, which checks them already.
			'import-x/extensions': 'off',
			'import-x/no-unresolved': 'off',
			'n/file-extension-in-import': 'off',
			// Streams, lists and generators are read one step after the other by design (one task per connection).
			'no-await-in-loop': 'off',
			// The single executable is a CommonJS file, which has no top-level await.
			'unicorn/prefer-top-level-await': 'off',
		},
	},
	{
		files: ['**/*.test.ts'],
		rules: {
			// `tap` queues `t.test(...)`: the promise it returns is not awaited in flat tests.
			'@typescript-eslint/no-floating-promises': 'off',
		},
	},
];

export default config;
