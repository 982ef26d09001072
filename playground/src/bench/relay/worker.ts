/** A worker process of the relay bench: holds light daemons, obeys the bench. */
import { setMaxListeners } from "node:events";
import { LightDaemon } from "./light_daemon.ts";
import {
  type InForce,
  machineNowMs,
  OrderKind,
  type WorkerOrder,
  type WorkerReply,
  type WorkerSample,
} from "./messages.ts";
import { SocketBytes, watchClientSockets } from "./socket_bytes.ts";

const peerBytes = new SocketBytes();
const storeBytes = new SocketBytes();
const servedBytes = new SocketBytes();
const stopping = new AbortController();
setMaxListeners(0, stopping.signal);
let daemons: LightDaemon[] = [];
let inForce: InForce[] = [];
let storePort = "";

watchClientSockets((socket, port) => {
  (port === storePort ? storeBytes : peerBytes).add(socket);
});

process.on("message", (order: WorkerOrder) => {
  obey(order).then((reply) => process.send?.(reply));
});
process.on("disconnect", () => process.exit(1));

async function obey(order: WorkerOrder): Promise<WorkerReply> {
  switch (order.kind) {
    case OrderKind.Listen: {
      storePort = new URL(order.storeUrl).port;
      daemons = order.places
        .map((place) => new LightDaemon(place, order.storeUrl));
      const peers = await Promise.all(
        daemons.map((daemon) => daemon.listen((s) => servedBytes.add(s))),
      );
      return { kind: order.kind, peers };
    }
    case OrderKind.Start:
      for (const daemon of daemons) {
        daemon.replica.onChange(record, stopping.signal);
        daemon.start(order.peers, stopping.signal);
      }
      return { kind: order.kind };
    case OrderKind.Sample:
      return { kind: order.kind, sample: takeSample() };
    case OrderKind.Stop:
      stopping.abort();
      await Promise.all(daemons.map((daemon) => daemon.stop()));
      setImmediate(() => process.exit(0));
      return { kind: order.kind };
  }
}

function record(sequence: number): void {
  inForce.push({ sequence, atMs: machineNowMs() });
}

function takeSample(): WorkerSample {
  const { user, system } = process.cpuUsage();
  const { rss, heapUsed } = process.memoryUsage();
  const sample = {
    cpuMs: (user + system) / 1_000,
    rssBytes: rss,
    heapBytes: heapUsed,
    peerBytes: peerBytes.total,
    storeBytes: storeBytes.total,
    servedBytes: servedBytes.total,
    daemons: daemons.length,
    heads: daemons.filter((daemon) => daemon.isHead).length,
    minSequence: Math.min(
      ...daemons.map((daemon) => daemon.replica.sequence),
    ),
    inForce,
  };
  inForce = [];
  return sample;
}
