package mallowstall.net;

import java.net.InetSocketAddress;
import java.util.regex.Pattern;

/** Parses socket addresses in the notation of the protocols and the settings. */
public final class SocketAddresses {
  private static final Pattern IP_V4 = Pattern.compile("[0-9]{1,3}(\\.[0-9]{1,3}){3}");

  private SocketAddresses() {}

  /**
   * Parses an IPv4 address with a port, like {@code 10.0.0.1:8080}. Host names are never resolved.
   *
   * @throws IllegalArgumentException if the string is not an IPv4 address with a port
   */
  public static InetSocketAddress parse(String address) {
    int colon = address.lastIndexOf(':');
    if (colon < 7 || !IP_V4.matcher(address.substring(0, colon)).matches()) {
      throw new IllegalArgumentException(
          "not an address: " + address + ", expected one like 10.0.0.1:8080");
    }
    return new InetSocketAddress(
        address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
  }
}
