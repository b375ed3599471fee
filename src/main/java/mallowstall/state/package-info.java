/**
 * Client of the state service and the codec of its entries. {@link mallowstall.state.StateProtocol}
 * and {@link mallowstall.state.StoredFields} hold every name that is sent or stored, so types of
 * the core can be renamed without a change of bytes.
 */
package mallowstall.state;
