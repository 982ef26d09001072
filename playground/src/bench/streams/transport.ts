/** A way to carry token streams between two processes. */
export interface Transport {
  /** Reads one stream of `count` tokens to its end; the tokens received. */
  read(id: string, count: number): Promise<number>;
  close(): Promise<void>;
}
