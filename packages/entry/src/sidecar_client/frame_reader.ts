/** Reads newline-delimited frames from a stream's body. */
import { decodeFrame, type Frame } from "@sassafrascleat/protocol";
import type { Readable } from "node:stream";
import { StringDecoder } from "node:string_decoder";

/**
 * Takes the frames that one chunk brought, in order; false ends the reading. A
 * promise holds the body back until it settles.
 */
export type FrameTaker = (frames: Frame[]) => boolean | Promise<boolean>;

/**
 * Hands the frames of `body` to `take`; lines that are no frames are left out.
 * Resolves at the end of the body and when `take` ends the reading; rejects
 * when the body breaks or `take` fails, never before `take` has settled.
 */
export function readFrames(body: Readable, take: FrameTaker): Promise<void> {
  return new Promise((resolve, reject) => {
    const lines = new FrameDecoder();
    let taking: Promise<void> | undefined;
    const stop = (err?: unknown) => {
      body.off("data", onData).off("end", onOver).off("close", onOver);
      if (err === undefined) resolve();
      else reject(err);
    };
    const onOver = (err?: unknown) => {
      if (taking) void taking.then(() => stop(err));
      else stop(err);
    };
    const onTaken = (more: boolean) => {
      taking = undefined;
      if (more) body.resume();
      else stop();
    };
    const onData = (chunk: Buffer) => {
      const frames = lines.decode(chunk);
      if (frames.length === 0) return;
      const more = take(frames);
      if (more === true) return;
      if (more === false) return stop();
      body.pause();
      taking = more.then(onTaken, stop);
    };
    body.on("data", onData).on("end", onOver).on("close", onOver);
    body.on("error", onOver);
  });
}

/** Turns chunks of bytes into frames. */
class FrameDecoder {
  readonly #decoder = new StringDecoder("utf8");
  #rest = "";

  decode(chunk: Buffer): Frame[] {
    const text = this.#rest + this.#decoder.write(chunk);
    const frames: Frame[] = [];
    let from = 0;
    for (let to = text.indexOf("\n"); to >= 0; to = text.indexOf("\n", from)) {
      const frame = decodeFrame(text.slice(from, to));
      if (frame) frames.push(frame);
      from = to + 1;
    }
    this.#rest = text.slice(from);
    return frames;
  }
}
