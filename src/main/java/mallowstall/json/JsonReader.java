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
 * Reads one JSON document with Jackson's streaming parser. The reader is always at one value, the
 * current value. Types are strict: no value is converted silently, and null stands for an absent
 * value. A caller that reads an object skips unknown fields with {@link #skip}.
 *
 * <p>Callers read each field in code, because data binding by reflection takes a third of the
 * start-up time. Every method may throw {@link WrongTypeException}, or Jackson's own exception if
 * the document is not JSON. Not thread-safe.
 */
public final class JsonReader {
  /** Reads the current value of a reader. */
  public interface ValueReader<T> {
    /** Reads the current value and leaves the reader at the end of the value. */
    T read(JsonReader in) throws IOException;
  }

  /** Handles the error of an unreadable document. */
  public interface DocumentErrorHandler {
    /** Called with a {@link WrongTypeException}, or with Jackson's exception for invalid JSON. */
    void handle(IOException failure);
  }

  /** Handles the error of an unreadable value. */
  public interface ValueErrorHandler {
    /** Called after the value has been skipped. */
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

  /** Reads a document that consists of one value. */
  public static <T> T read(byte[] document, ValueReader<T> value) throws IOException {
    return new JsonReader(document, 0, document.length).readDocument(value);
  }

  /**
   * Reads a document that consists of one value. If the document is unreadable, passes the error to
   * {@code unreadable} and returns null.
   */
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

  /** Enters the object at the current value. Returns false if the current value is null. */
  public boolean enterObjectIfPresent() throws IOException {
    return expect(JsonToken.START_OBJECT, OBJECT);
  }

  /** Enters the object at the current value. Null is an error. */
  public void enterObject() throws IOException {
    if (!enterObjectIfPresent()) {
      throw wrongType(OBJECT);
    }
  }

  /**
   * Returns true if the current value begins with this token, and false if it is null. Any other
   * value is an error.
   */
  private boolean expect(JsonToken token, String expected) throws IOException {
    if (isNull()) {
      return false;
    }
    if (parser.currentToken() != token) {
      throw wrongType(expected);
    }
    return true;
  }

  /** Moves to the value of the object's next field. Returns false at the end of the object. */
  public boolean nextField() throws IOException {
    if (parser.nextToken() == JsonToken.END_OBJECT) {
      return false;
    }
    parser.nextToken();
    return true;
  }

  /** Returns the name of the field that holds the current value. */
  public String field() throws IOException {
    return parser.currentName();
  }

  /**
   * Reads an object and returns the value of this one field, or null if the object lacks the field.
   * All other fields are skipped. A null instead of the object is an error.
   */
  public <T> T fieldOrNull(String name, ValueReader<T> value) throws IOException {
    T result = null;
    enterObject();
    while (nextField()) {
      if (field().equals(name)) {
        result = value.read(this);
      } else {
        skip();
      }
    }
    return result;
  }

  /** Skips the current value. */
  public void skip() throws IOException {
    parser.skipChildren();
  }

  private boolean isNull() {
    return parser.currentToken() == JsonToken.VALUE_NULL;
  }

  /** Reads a list. Returns null if the current value is null. */
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

  /** Reads a list of strings. Returns null if the current value is null. */
  public List<String> strings() throws IOException {
    return list(JsonReader::string);
  }

  /** Reads a string or null. */
  public String string() throws IOException {
    return expect(JsonToken.VALUE_STRING, "a string") ? parser.getText() : null;
  }

  /** Reads bytes in base 64, or null. */
  public byte[] bytes() throws IOException {
    // The value is read as text first, so that the reader is at the end of the value
    // even if the value is not base 64.
    if (string() == null) {
      return null;
    }
    try {
      return parser.getBinaryValue();
    } catch (JsonProcessingException notBase64) {
      throw wrongType("bytes in base 64");
    }
  }

  /** Reads the name of an enum constant, or null. */
  public <E extends Enum<E>> E enumConstant(Class<E> type) throws IOException {
    String name = string();
    try {
      return name == null ? null : Enum.valueOf(type, name);
    } catch (IllegalArgumentException unknown) {
      throw wrongType("one of " + Arrays.toString(type.getEnumConstants()));
    }
  }

  /** Reads a boolean or null. */
  public Boolean booleanOrNull() throws IOException {
    return switch (parser.currentToken()) {
      case VALUE_NULL -> null;
      case VALUE_TRUE -> Boolean.TRUE;
      case VALUE_FALSE -> Boolean.FALSE;
      default -> throw wrongType("true or false");
    };
  }

  /** Reads a boolean. Returns false if the current value is null. */
  public boolean booleanOrFalse() throws IOException {
    return Boolean.TRUE.equals(booleanOrNull());
  }

  /** Reads a number or null. */
  public Double doubleOrNull() throws IOException {
    if (isNull()) {
      return null;
    }
    if (!parser.currentToken().isNumeric()) {
      throw wrongType("a number");
    }
    return parser.getDoubleValue();
  }

  /** Reads a number. Returns 0 if the current value is null. */
  public double doubleOrZero() throws IOException {
    Double value = doubleOrNull();
    return value == null ? 0 : value;
  }

  /** Reads a 64-bit integer. Returns 0 if the current value is null. */
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

  /** Reads a 32-bit integer or null. */
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

  /** Reads a 32-bit integer. Returns 0 if the current value is null. */
  public int intOrZero() throws IOException {
    Integer value = intOrNull();
    return value == null ? 0 : value;
  }

  /**
   * Reads the current value. If the value has the wrong type, skips it, passes the error to {@code
   * unreadable} and returns null.
   */
  public <T> T readOrSkip(ValueReader<T> value, ValueErrorHandler unreadable) throws IOException {
    JsonStreamContext enclosing = enclosingContext();
    try {
      return value.read(this);
    } catch (WrongTypeException wrong) {
      while (parser.getParsingContext() != enclosing) {
        parser.nextToken();
      }
      unreadable.handle(wrong);
      return null;
    }
  }

  /**
   * Skips the current value and returns it, so that it can be read later as a separate document.
   */
  public Deferred defer() throws IOException {
    int start = (int) parser.currentTokenLocation().getByteOffset();
    parser.skipChildren();
    int end = (int) parser.currentLocation().getByteOffset();
    return new Deferred(document, offset + start, end - start);
  }

  /** A skipped value, which refers to its part of the document. */
  public static final class Deferred {
    private final byte[] document;
    private final int offset;
    private final int length;

    private Deferred(byte[] document, int offset, int length) {
      this.document = document;
      this.offset = offset;
      this.length = length;
    }

    /** Reads the skipped value as a document of its own. */
    public <T> T read(ValueReader<T> value) throws IOException {
      return new JsonReader(document, offset, length).readDocument(value);
    }
  }

  /** Returns the context of the object, list or root that contains the current value. */
  private JsonStreamContext enclosingContext() {
    JsonStreamContext context = parser.getParsingContext();
    return parser.currentToken().isStructStart() ? context.getParent() : context;
  }

  /** Returns the exception for a current value that is not of the expected type. */
  private WrongTypeException wrongType(String expected) throws IOException {
    StringBuilder path = new StringBuilder();
    appendPath(path, enclosingContext());
    return new WrongTypeException(path.toString(), expected, describeValue());
  }

  /** Returns the current value as it appears in an error message. */
  private String describeValue() throws IOException {
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
