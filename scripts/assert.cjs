/**
 * Replaces `node:assert` in the bundle. For an assertion without a message,
 * Node.js words one by parsing the source around it, which takes seconds in a
 * minified file. Here it is constant, so that no bytes which make an assertion
 * of a library fail can hold up the process.
 */
const original = require("node:assert");

function assert(value, message) {
  if (value) return;
  if (message instanceof Error) throw message;
  throw new original.AssertionError({
    message: message ?? "assertion failed",
    actual: value,
    expected: true,
    operator: "==",
    stackStartFn: assert,
  });
}

module.exports = Object.assign(assert, original, { ok: assert });
module.exports.strict = assert;
