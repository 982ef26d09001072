/**
 * A worker process of the relay bench: runs daemons and executes the bench's
 * commands.
 */
import { setMaxListeners } from "node:events";
import { RelayDaemon } from "./relay_daemon.ts";
import {
  type AppliedChange,
  CommandKind,
  monotonicNowMs,
  type WorkerCommand,
  type WorkerReply,
  type WorkerSample,
} from "./messages.ts";
import { onClientSocket, SocketByteCounter } from "./socket_byte_counter.ts";

const peerBytes = new SocketByteCounter();
const storeBytes = new SocketByteCounter();
const servedBytes = new SocketByteCounter();
const stopping = new AbortController();
setMaxListeners(0, stopping.signal);
let daemons: RelayDaemon[] = [];
let inForce: AppliedChange[] = [];
let storePort = "";

onClientSocket((socket, port) => {
  (port === storePort ? storeBytes : peerBytes).add(socket);
});

process.on("message", (command: WorkerCommand) => {
  handleCommand(command).then((reply) => process.send?.(reply));
});
process.on("disconnect", () => process.exit(1));

async function handleCommand(command: WorkerCommand): Promise<WorkerReply> {
  switch (command.kind) {
    case CommandKind.Listen: {
      storePort = new URL(command.storeUrl).port;
      daemons = command.places
        .map((identity) => new RelayDaemon(identity, command.storeUrl));
      const peers = await Promise.all(
        daemons.map((daemon) => daemon.listen((s) => servedBytes.add(s))),
      );
      return { kind: command.kind, peers };
    }
    case CommandKind.Start:
      for (const daemon of daemons) {
        daemon.replica.onChange(recordAppliedChange, stopping.signal);
        daemon.start(command.peers, stopping.signal);
      }
      return { kind: command.kind };
    case CommandKind.Sample:
      return { kind: command.kind, sample: takeSample() };
    case CommandKind.Stop:
      stopping.abort();
      await Promise.all(daemons.map((daemon) => daemon.stop()));
      setImmediate(() => process.exit(0));
      return { kind: command.kind };
  }
}

function recordAppliedChange(sequence: number): void {
  inForce.push({ sequence, atMs: monotonicNowMs() });
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
