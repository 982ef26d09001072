/** Splits a response body into the strings between separators. */

/**
 * Yields each string that ends with a separator; an unterminated last one is
 * dropped.
 */
export async function* splitStream(
  body: AsyncIterable<Uint8Array>,
  separator: string,
): AsyncGenerator<string> {
  const decoder = new TextDecoder();
  let remainder = "";
  for await (const chunk of body) {
    remainder += decoder.decode(chunk, { stream: true });
    const parts = remainder.split(separator);
    remainder = parts.pop() ?? "";
    yield* parts;
  }
}
