package mallowstall.json;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonStreamContext;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.exc.InputCoercionException;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * Reads one JSON document field by field with Jackson's streaming parser. Strictly typed: nothing
 * is converted silently, null stands for an absent value, and whoever reads an object skips the
 * fields that it doesn't know.
 *
 * <p>Values are read by hand instead of bound by reflection, which costs a third of the start-up
 * time. Every method may throw {@link WrongTypeException}, or Jackson's own exception for what is
 * not JSON. Not thread-safe.
 */
public final class JsonReader {
  /** Reads one value, at which the reader stands. */
  public interface ValueReader<T> {
    /** Reads the value and leaves the reader at its end. */
    T read(JsonReader in) throws IOException;
  }

  /** Receives why a document couldn't be read. */
  public interface DocumentErrorHandler {
    /** The document is not JSON, or has a {@link WrongTypeException}. */
    void handle(IOException failure);
  }

  /** Receives why a value couldn't be read. */
  public interface ValueErrorHandler {
    /** The value was skipped. */
    void handle(WrongTypeException failure);
  }

  private static final String OBJECT = "an object";
  private static final String LONG = "a whole number of 64 bits";
  private static final String INT = "a whole number of 32 bits";
  private static final int MAX_SHOWN_VALUE = 40;
  static final JsonFactory FACTORY = new JsonFactory();

  private final byte[] document;
  private final int offset;
  private final JsonParser parser;

  private JsonReader(byte[] document, int offset, int length) throws IOException {
    this.document = document;
    this.offset = offset;
    this.parser = FACTORY.createParser(document, offset, length);
  }

  /** Reads a document that consists of this value alone. */
  public static <T> T read(byte[] document, ValueReader<T> value) throws IOException {
    return new JsonReader(document, 0, document.length).readDocument(value);
  }

  /** Reads a document that consists of this value alone; null if it can't be read. */
  public static <T> T readOrNull(
      byte[] document, ValueReader<T> value, DocumentErrorHandler unreadable) {
    try {
      return read(document, value);
    } catch (IOException failure) {
      unreadable.handle(failure);
      return null;
    }
  }

  private <T> T readDocument(ValueReader<T> value) throws IOException {
    if (parser.nextToken() == null) {
      throw new WrongTypeException("", "one JSON value", "an empty document");
    }
    T result = value.read(this);
    if (parser.nextToken() != null) {
      throw new WrongTypeException("", "one JSON value", "more than one");
    }
    return result;
  }

  /** Enters an object, whose fields follow; false: the value is null. */
  public boolean enterObjectIfPresent() throws IOException {
    return expect(JsonToken.START_OBJECT, OBJECT);
  }

  /** Enters an object that must be there. */
  public void enterObject() throws IOException {
    if (!enterObjectIfPresent()) {
      throw wrongType(OBJECT);
    }
  }

  /** Whether the value begins with this token; false: it is null. Anything else is an error. */
  private boolean expect(JsonToken token, String expected) throws IOException {
    if (isNull()) {
      return false;
    }
    if (parser.currentToken() != token) {
      throw wrongType(expected);
    }
    return true;
  }

  /** Goes to the next field of the object and stands at its value; false: the object has ended. */
  public boolean nextField() throws IOException {
    if (parser.nextToken() == JsonToken.END_OBJECT) {
      return false;
    }
    parser.nextToken();
    return true;
  }

  /** The name of the field at whose value the reader stands. */
  public String field() throws IOException {
    return parser.currentName();
  }

  /** The one field that matters of an object that must be there; null if the object has none. */
  public <T> T fieldOrNull(String name, ValueReader<T> value) throws IOException {
    T found = null;
    enterObject();
    while (nextField()) {
      if (field().equals(name)) {
        found = value.read(this);
      } else {
        skip();
      }
    }
    return found;
  }

  /** Skips the value. */
  public void skip() throws IOException {
    parser.skipChildren();
  }

  private boolean isNull() {
    return parser.currentToken() == JsonToken.VALUE_NULL;
  }

  /** The elements of a list; null if there is none. */
  public <T> List<T> list(ValueReader<T> element) throws IOException {
    if (!expect(JsonToken.START_ARRAY, "a list")) {
      return null;
    }
    List<T> elements = new ArrayList<>();
    while (parser.nextToken() != JsonToken.END_ARRAY) {
      elements.add(element.read(this));
    }
    return elements;
  }

  /** The strings of a list; null if there is none. */
  public List<String> strings() throws IOException {
    return list(JsonReader::string);
  }

  /** A string, or null. */
  public String string() throws IOException {
    return expect(JsonToken.VALUE_STRING, "a string") ? parser.getText() : null;
  }

  /** Bytes in base 64, or null. */
  public byte[] bytes() throws IOException {
    // as a text first: the reader then stands behind it even if it isn't base 64
    if (string() == null) {
      return null;
    }
    try {
      return parser.getBinaryValue();
    } catch (JsonProcessingException notBase64) {
      throw wrongType("bytes in base 64");
    }
  }

  /** A constant by its name, or null. */
  public <E extends Enum<E>> E enumConstant(Class<E> type) throws IOException {
    String name = string();
    try {
      return name == null ? null : Enum.valueOf(type, name);
    } catch (IllegalArgumentException unknown) {
      throw wrongType("one of " + Arrays.toString(type.getEnumConstants()));
    }
  }

  /** True or false, or null. */
  public Boolean booleanOrNull() throws IOException {
    return switch (parser.currentToken()) {
      case VALUE_NULL -> null;
      case VALUE_TRUE -> Boolean.TRUE;
      case VALUE_FALSE -> Boolean.FALSE;
      default -> throw wrongType("true or false");
    };
  }

  /** True or false; null counts as false. */
  public boolean booleanOrFalse() throws IOException {
    return booleanOrNull() == Boolean.TRUE;
  }

  /** A number, or null. */
  public Double doubleOrNull() throws IOException {
    if (isNull()) {
      return null;
    }
    if (!parser.currentToken().isNumeric()) {
      throw wrongType("a number");
    }
    return parser.getDoubleValue();
  }

  /** A number; null counts as 0. */
  public double doubleOrZero() throws IOException {
    Double value = doubleOrNull();
    return value == null ? 0 : value;
  }

  /** A whole number of 64 bits; null counts as 0. */
  public long longOrZero() throws IOException {
    if (!expect(JsonToken.VALUE_NUMBER_INT, LONG)) {
      return 0;
    }
    try {
      return parser.getLongValue();
    } catch (InputCoercionException outOfRange) {
      throw wrongType(LONG);
    }
  }

  /** A whole number of 32 bits, or null. */
  public Integer intOrNull() throws IOException {
    if (!expect(JsonToken.VALUE_NUMBER_INT, INT)) {
      return null;
    }
    try {
      return parser.getIntValue();
    } catch (InputCoercionException outOfRange) {
      throw wrongType(INT);
    }
  }

  /** A whole number of 32 bits; null counts as 0. */
  public int intOrZero() throws IOException {
    Integer value = intOrNull();
    return value == null ? 0 : value;
  }

  /** Reads the value, or skips it if it can't be read, which {@code unreadable} receives. */
  public <T> T readOrSkip(ValueReader<T> value, ValueErrorHandler unreadable) throws IOException {
    JsonStreamContext outside = outside();
    try {
      return value.read(this);
    } catch (WrongTypeException wrong) {
      while (parser.getParsingContext() != outside) {
        parser.nextToken();
      }
      unreadable.handle(wrong);
      return null;
    }
  }

  /** Skips the value, which may be read later as a document of its own. */
  public Deferred defer() throws IOException {
    int start = (int) parser.currentTokenLocation().getByteOffset();
    parser.skipChildren();
    int end = (int) parser.currentLocation().getByteOffset();
    return new Deferred(document, offset + start, end - start);
  }

  /** A value that was skipped: a part of its document. */
  public static final class Deferred {
    private final byte[] document;
    private final int offset;
    private final int length;

    private Deferred(byte[] document, int offset, int length) {
      this.document = document;
      this.offset = offset;
      this.length = length;
    }

    /** Reads the value. */
    public <T> T read(ValueReader<T> value) throws IOException {
      return new JsonReader(document, offset, length).readDocument(value);
    }
  }

  /** What surrounds the value at which the reader stands. */
  private JsonStreamContext outside() {
    JsonStreamContext context = parser.getParsingContext();
    return parser.currentToken().isStructStart() ? context.getParent() : context;
  }

  /** The value at which the reader stands isn't what is expected there. */
  private WrongTypeException wrongType(String expected) throws IOException {
    StringBuilder path = new StringBuilder();
    appendPath(path, outside());
    return new WrongTypeException(path.toString(), expected, found());
  }

  /** The value at which the reader stands, as an error shows it. */
  private String found() throws IOException {
    JsonToken token = parser.currentToken();
    if (token == JsonToken.START_OBJECT) {
      return OBJECT;
    }
    if (token == JsonToken.START_ARRAY) {
      return "a list";
    }
    String text = parser.getText();
    String shown =
        text.length() <= MAX_SHOWN_VALUE ? text : text.substring(0, MAX_SHOWN_VALUE) + "...";
    return token == JsonToken.VALUE_STRING ? '"' + shown + '"' : shown;
  }

  private static void appendPath(StringBuilder path, JsonStreamContext context) {
    if (context == null || context.inRoot()) {
      return;
    }
    appendPath(path, context.getParent());
    if (context.inArray()) {
      path.append('[').append(context.getCurrentIndex()).append(']');
    } else {
      path.append(path.length() > 0 ? "." : "").append(context.getCurrentName());
    }
  }
}
