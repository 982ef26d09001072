/**
 * One engine as a process of its own, which can be killed. Arguments: its fields
 * as JSON, and its port.
 */
import { Engine } from "./engine.mjs";

const [, , fields, port] = process.argv;
const tell = (message) => process.send?.(message);
const engine = new Engine({
  ...JSON.parse(fields),
  fleet: new Map(),
  record: (text) => tell({ text }),
});
const { unframed } = JSON.parse(fields);
engine.isUnframed = () => unframed === true;
process.on("disconnect", () => process.exit());
await engine.start(Number(port));
tell({ address: engine.address, entry: engine.entry() });
