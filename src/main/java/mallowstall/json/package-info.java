/**
 * Streaming reader and writer of JSON with strict types. Error messages name the path of the value,
 * the expected type and the value that was found.
 */
package mallowstall.json;
