/** Exports the parts of undici that a deployed instance uses; the index of undici also loads fetch, caches, mocks and web sockets. */
const buildConnector = require('undici/lib/core/connect.js');
const errors = require('undici/lib/core/errors.js');
const Agent = require('undici/lib/dispatcher/agent.js');
const Client = require('undici/lib/dispatcher/client.js');
const Dispatcher = require('undici/lib/dispatcher/dispatcher.js');
const Pool = require('undici/lib/dispatcher/pool.js');
const api = require('undici/lib/api/index.js');

Object.assign(Dispatcher.prototype, api);

module.exports = {
	Agent, buildConnector, Client, Dispatcher, errors, Pool,
};
