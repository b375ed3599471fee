package mallowstall.net;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;

/** Writes HTTP responses to connections. */
final class HttpResponses {
  private HttpResponses() {}

  /**
   * Writes a response. It has no Retry-After header if {@code retryAfterS} is 0. The connection is
   * closed afterwards unless {@code keepAlive} is set.
   */
  static ChannelFuture write(
      ChannelHandlerContext ctx, int status, byte[] json, int retryAfterS, boolean keepAlive) {
    return write(ctx, status, json, retryAfterS, keepAlive, !keepAlive);
  }

  /**
   * Writes a response with the header {@code Connection: close} unless {@code keepAlive} is set.
   * Closes the connection afterwards if {@code close} is set.
   */
  static ChannelFuture write(
      ChannelHandlerContext ctx,
      int status,
      byte[] json,
      int retryAfterS,
      boolean keepAlive,
      boolean close) {
    DefaultFullHttpResponse response =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), Unpooled.wrappedBuffer(json));
    response
        .headers()
        .set(
            HttpHeaderNames.CONTENT_TYPE,
            json.length > 0 && json[0] == '{' ? "application/json" : "text/plain");
    response.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, json.length);
    if (retryAfterS > 0) {
      response.headers().setInt(HttpHeaderNames.RETRY_AFTER, retryAfterS);
    }
    if (!keepAlive) {
      response.headers().set(HttpHeaderNames.CONNECTION, "close");
    }
    ChannelFuture written = ctx.writeAndFlush(response);
    if (close) {
      written.addListener(ChannelFutureListener.CLOSE);
    }
    return written;
  }
}
