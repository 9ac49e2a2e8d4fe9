package engine

import (
	"bytes"

	"github.com/zinniaseam/zinniaseam/core"
)

// maxScanDepth bounds the nesting of values that the scanner accepts.
const maxScanDepth = 8

// eventFields are the fields of an event that the system checks.
type eventFields struct {
	version core.VersionID
	offset  int
}

// scanEventFields reads the checked fields of an event without decoding the rest. It
// reports false if the event must be read by the full decoder: if it is malformed, a
// field has an unexpected type, or the decoder might match a name case-insensitively.
// previous is the version of the previous event; if the version is the same, its text is
// not copied again.
func scanEventFields(data []byte, previous core.VersionID) (eventFields, bool) {
	s := jsonScanner{data: data}
	found := eventFields{}
	ok := s.object(func(name []byte) bool {
		switch string(name) {
		case "system_fingerprint":
			text, ok := s.plainText()
			if string(text) != string(previous) {
				previous = core.VersionID(text)
			}
			found.version = previous
			return ok
		case "token_offset":
			var ok bool
			found.offset, ok = s.integer()
			return ok
		case "created":
			_, ok := s.integer()
			return ok
		case "id", "object", "model":
			return s.text()
		case "choices":
			return s.list(s.choice)
		default:
			return lowerName(name) && s.value(maxScanDepth)
		}
	})
	s.space()
	return found, ok && s.at == len(data)
}

// jsonScanner scans one JSON text. Each method consumes the syntax element that it is
// named after and reports whether it was present.
type jsonScanner struct {
	data []byte
	at   int
}

// choice consumes one alternative of an event.
func (s *jsonScanner) choice() bool {
	return s.object(func(name []byte) bool {
		switch string(name) {
		case "index":
			_, ok := s.integer()
			return ok
		case "delta":
			return s.object(func(name []byte) bool {
				if string(name) == "content" {
					return s.text()
				}
				return lowerName(name) && s.value(maxScanDepth)
			})
		case "finish_reason":
			return s.literal("null") || s.text()
		default:
			return lowerName(name) && s.value(maxScanDepth)
		}
	})
}

// lowerName reports whether a name has only lower-case letters, digits and underscores.
// The decoder ignores case, but it matches such a name only to a field of exactly that
// name, since the names of all fields are lower case.
func lowerName(name []byte) bool {
	for _, c := range name {
		if c != '_' && (c < 'a' || c > 'z') && (c < '0' || c > '9') {
			return false
		}
	}
	return true
}

func (s *jsonScanner) space() {
	for s.at < len(s.data) {
		switch s.data[s.at] {
		case ' ', '\t', '\r', '\n':
			s.at++
		default:
			return
		}
	}
}

// token consumes white space and one byte.
func (s *jsonScanner) token(want byte) bool {
	s.space()
	if s.at < len(s.data) && s.data[s.at] == want {
		s.at++
		return true
	}
	return false
}

// literal consumes a literal such as null.
func (s *jsonScanner) literal(want string) bool {
	s.space()
	if !bytes.HasPrefix(s.data[s.at:], []byte(want)) {
		return false
	}
	s.at += len(want)
	return true
}

// object consumes an object; field must consume the value of each name.
func (s *jsonScanner) object(field func(name []byte) bool) bool {
	if !s.token('{') {
		return false
	}
	if s.token('}') {
		return true
	}
	for {
		name, ok := s.plainText()
		if !ok || !s.token(':') || !field(name) {
			return false
		}
		if s.token('}') {
			return true
		}
		if !s.token(',') {
			return false
		}
	}
}

// list consumes an array; item must consume each element.
func (s *jsonScanner) list(item func() bool) bool {
	if !s.token('[') {
		return false
	}
	if s.token(']') {
		return true
	}
	for item() {
		if s.token(']') {
			return true
		}
		if !s.token(',') {
			return false
		}
	}
	return false
}

// plainText consumes a string of printable ASCII without escapes and returns it.
func (s *jsonScanner) plainText() ([]byte, bool) {
	if !s.token('"') {
		return nil, false
	}
	start := s.at
	for ; s.at < len(s.data); s.at++ {
		switch c := s.data[s.at]; {
		case c == '"':
			s.at++
			return s.data[start : s.at-1], true
		case c == '\\' || c < ' ' || c > '~':
			return nil, false
		}
	}
	return nil, false
}

// text consumes any string.
func (s *jsonScanner) text() bool {
	if !s.token('"') {
		return false
	}
	for s.at < len(s.data) {
		c := s.data[s.at]
		s.at++
		switch {
		case c == '"':
			return true
		case c < ' ':
			return false
		case c == '\\' && !s.escape():
			return false
		}
	}
	return false
}

// escape consumes an escape sequence after its backslash.
func (s *jsonScanner) escape() bool {
	if s.at == len(s.data) {
		return false
	}
	c := s.data[s.at]
	s.at++
	if c != 'u' {
		return bytes.IndexByte([]byte(`"\/bfnrt`), c) >= 0
	}
	const digits = 4
	if len(s.data)-s.at < digits {
		return false
	}
	for _, c := range s.data[s.at : s.at+digits] {
		if bytes.IndexByte([]byte("0123456789abcdefABCDEF"), c) < 0 {
			return false
		}
	}
	s.at += digits
	return true
}

// integer consumes an integer of at most 18 digits without a sign.
func (s *jsonScanner) integer() (int, bool) {
	const maxDigits = 18
	s.space()
	start := s.at
	number := 0
	for ; s.at < len(s.data) && s.data[s.at] >= '0' && s.data[s.at] <= '9'; s.at++ {
		if s.at-start == maxDigits {
			return 0, false
		}
		number = number*10 + int(s.data[s.at]-'0')
	}
	length := s.at - start
	return number, length == 1 || length > 1 && s.data[start] != '0'
}

// value consumes any value that is not nested deeper than depth. It rejects numbers other
// than integers without a sign, which are left to the full decoder.
func (s *jsonScanner) value(depth int) bool {
	s.space()
	if s.at == len(s.data) || depth == 0 {
		return false
	}
	switch s.data[s.at] {
	case '"':
		return s.text()
	case '{':
		return s.object(func([]byte) bool { return s.value(depth - 1) })
	case '[':
		return s.list(func() bool { return s.value(depth - 1) })
	case 't':
		return s.literal("true")
	case 'f':
		return s.literal("false")
	case 'n':
		return s.literal("null")
	default:
		_, ok := s.integer()
		return ok
	}
}
