/**
 * Streaming readers and writers of JSON with strict types. Errors name the path of the value, what
 * was expected and what was found.
 */
package mallowstall.json;
