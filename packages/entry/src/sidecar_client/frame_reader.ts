/** Reads newline-delimited frames from a stream's body. */
import { decodeFrame, type Frame } from "@sassafrascleat/protocol";
import type { Readable } from "node:stream";
import { StringDecoder } from "node:string_decoder";

/**
 * Handles the frames of one chunk, in order. The result false stops reading. A
 * returned promise pauses the body until it settles.
 */
export type FrameHandler = (frames: Frame[]) => boolean | Promise<boolean>;

/**
 * Passes the frames of `body` to `onFrames`; lines that are not valid frames are
 * skipped. Resolves at the end of the body or when `onFrames` stops reading.
 * Rejects when the body or a promise of `onFrames` fails. Does not settle while
 * such a promise is pending.
 */
export function readFrames(
  body: Readable,
  onFrames: FrameHandler,
): Promise<void> {
  return new Promise((resolve, reject) => {
    const decoder = new FrameDecoder();
    let pending: Promise<void> | undefined;
    const stop = (err?: unknown) => {
      body.off("data", onData).off("end", onEnd).off("close", onEnd);
      if (err === undefined) resolve();
      else reject(err);
    };
    const onEnd = (err?: unknown) => {
      if (pending) void pending.then(() => stop(err));
      else stop(err);
    };
    const onHandled = (more: boolean) => {
      pending = undefined;
      if (more) body.resume();
      else stop();
    };
    const onData = (chunk: Buffer) => {
      const frames = decoder.decode(chunk);
      if (frames.length === 0) return;
      const more = onFrames(frames);
      if (more === true) return;
      if (more === false) return stop();
      body.pause();
      pending = more.then(onHandled, stop);
    };
    body.on("data", onData).on("end", onEnd).on("close", onEnd);
    body.on("error", onEnd);
  });
}

/** Decodes chunks of bytes into frames. */
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
