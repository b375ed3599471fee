/**
 * Client of the state service and the codec of its entries. {@link mallowstall.state.StateProtocol}
 * and {@link mallowstall.state.StoredFields} hold every name that is sent or stored, so that types
 * of the core can be renamed without changing the bytes that are sent or stored.
 */
package mallowstall.state;
