package mallowstall.state;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.async.ByteArrayFeeder;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import mallowstall.core.kernel.KeyValue;
import mallowstall.json.JsonReader;

/**
 * Reads a response with entries or changes while it arrives. A short response is read at once when
 * it is complete. A longer one is read item by item, so that the memory in use doesn't depend on
 * its length: the items are handed on in parts before the response is complete. Mutable.
 */
final class PageStream {
  /** Size in bytes of the items that are handed on together. */
  private static final int PART_BYTES = 64 << 10;

  private final int shortBytes;
  private final Consumer<List<KeyValue>> parts;

  /** The response so far, or null once it is longer than a short one. */
  private ByteArrayOutputStream shortBody = new ByteArrayOutputStream();

  private LongPage longPage;

  /** The error that makes the response unreadable, or null. */
  private IOException failure;

  /**
   * Creates a reader for one response.
   *
   * @param shortBytes maximum size in bytes of a response that is read at once
   * @param parts receives the items of a longer response, except for those that {@link #finish}
   *     returns
   */
  PageStream(int shortBytes, Consumer<List<KeyValue>> parts) {
    this.shortBytes = shortBytes;
    this.parts = parts;
  }

  /** Takes in the next piece of the response. */
  void receive(byte[] piece) {
    if (failure != null) {
      return;
    }
    try {
      if (longPage != null) {
        longPage.read(piece);
      } else if (shortBody.size() + piece.length <= shortBytes) {
        shortBody.writeBytes(piece);
      } else {
        longPage = new LongPage();
        longPage.read(shortBody.toByteArray());
        shortBody = null;
        longPage.read(piece);
      }
    } catch (IOException unreadable) {
      failure = unreadable;
    }
  }

  /**
   * Returns the revision and the items that were not handed on, once the response is complete.
   *
   * @throws IOException if the response is unreadable
   */
  StateCodec.Page finish() throws IOException {
    if (failure != null) {
      throw failure;
    }
    return longPage == null
        ? JsonReader.read(shortBody.toByteArray(), StateCodec::readPage)
        : longPage.finish();
  }

  /** Reads a page with Jackson's non-blocking parser. Each item is copied and read by itself. */
  private final class LongPage {
    private static final JsonFactory FACTORY = new JsonFactory();

    /** The depth of tokens within the page, which is an object. */
    private static final int PAGE_DEPTH = 1;

    /** The depth of tokens within the page's list of items. */
    private static final int ITEMS_DEPTH = 2;

    private final JsonParser parser = FACTORY.createNonBlockingByteArrayParser();
    private final ByteArrayFeeder feeder = (ByteArrayFeeder) parser.getNonBlockingInputFeeder();
    private final ByteArrayOutputStream item = new ByteArrayOutputStream();
    private List<KeyValue> items = new ArrayList<>();
    private int partBytes;
    private long revision;
    private boolean hasMore;
    private String lastKey;

    /** The name of the page's field that is being read. */
    private String field;

    private boolean inItems;
    private int depth;

    /** The copy of the item that is being read, or null. */
    private JsonGenerator itemCopy;

    LongPage() throws IOException {}

    void read(byte[] piece) throws IOException {
      feeder.feedInput(piece, 0, piece.length);
      for (JsonToken token = parser.nextToken();
          token != null && token != JsonToken.NOT_AVAILABLE;
          token = parser.nextToken()) {
        readToken(token);
      }
    }

    StateCodec.Page finish() throws IOException {
      feeder.endOfInput();
      JsonToken token = parser.nextToken();
      if (token != null || depth != 0) {
        throw new IOException("the response ends early or has more than one value");
      }
      return new StateCodec.Page(items, hasMore, revision, lastKey);
    }

    private void readToken(JsonToken token) throws IOException {
      int before = depth;
      if (token.isStructStart()) {
        depth++;
      } else if (token.isStructEnd()) {
        depth--;
      }
      if (inItems && before >= ITEMS_DEPTH && depth >= ITEMS_DEPTH) {
        copyToken();
      } else if (inItems) {
        inItems = false;
      } else if (before == PAGE_DEPTH) {
        readPageField(token);
      } else if (before == 0 && token != JsonToken.START_OBJECT) {
        throw new IOException("the response isn't an object");
      }
    }

    private void readPageField(JsonToken token) throws IOException {
      if (token == JsonToken.FIELD_NAME) {
        field = parser.currentName();
      } else if (token == JsonToken.START_ARRAY) {
        inItems = field.equals(StateProtocol.EVENTS) || field.equals(StateProtocol.ENTRIES);
      } else if (token == JsonToken.VALUE_NUMBER_INT && field.equals(StateProtocol.REVISION)) {
        revision = parser.getLongValue();
      } else if (token == JsonToken.VALUE_TRUE && field.equals(StateProtocol.HAS_MORE)) {
        hasMore = true;
      }
    }

    /** Copies one token of an item, and reads the item if that token completes it. */
    private void copyToken() throws IOException {
      if (itemCopy == null) {
        item.reset();
        itemCopy = FACTORY.createGenerator(item);
      }
      itemCopy.copyCurrentEvent(parser);
      if (depth > ITEMS_DEPTH) {
        return;
      }
      itemCopy.close();
      itemCopy = null;
      addItem(item.toByteArray());
    }

    private void addItem(byte[] document) throws IOException {
      StateCodec.Item read = JsonReader.read(document, StateCodec::readItem);
      if (read.change() != null) {
        items.add(read.change());
      }
      if (read.key() != null) {
        lastKey = read.key();
      }
      partBytes += document.length;
      if (partBytes >= PART_BYTES) {
        List<KeyValue> part = items;
        items = new ArrayList<>();
        partBytes = 0;
        parts.accept(part);
      }
    }
  }
}
