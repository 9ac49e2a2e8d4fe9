package answers

import (
	"errors"
	"fmt"
	"net/http"

	"golang.org/x/net/http/httpguts"
)

// ErrMalformedHead means that the head of an answer is no valid HTTP/1.1. What follows it may be
// framed in another way than it seems.
var ErrMalformedHead = errors.New("malformed head")

// HeadScanner checks the head of an answer, and the informational answers before it, as their
// bytes arrive. It rejects what net/http accepts: statuses that no answer has, blanks in the
// names of fields, folded lines, which look like names that begin with a blank, and encodings in
// versions without them. It is no parser: it accepts heads that net/http rejects. The zero value
// is ready for the first byte.
type HeadScanner struct {
	state scanState
	// lines is the number of complete lines before the present one.
	lines int
	// status is the number that the first digits of the status form.
	status, digits int
	// matched is how many bytes of the expected version, or of the name of the field that declares
	// an encoding, stand at the start of the present version or name, -1 if it is another one.
	matched int
	// current is set if the version is the one that has encodings.
	current bool
}

// scanState is what the next byte belongs to.
type scanState uint8

const (
	inVersion scanState = iota
	beforeStatus
	inStatus
	inLine
	atLineStart
	afterReturn
	inName
	afterHead
)

const (
	// statusDigits is the number of digits of a status.
	statusDigits = 3
	// version and encodingField are in small letters.
	version       = "http/1.1"
	encodingField = "transfer-encoding"
)

// Scan checks the next bytes of a connection. It ignores those after the head. The error wraps
// ErrMalformedHead.
func (s *HeadScanner) Scan(data []byte) error {
	for _, b := range data {
		if s.state == afterHead {
			return nil
		}
		if problem := s.next(b); problem != "" {
			return fmt.Errorf("%w, line %d: %s: %q", ErrMalformedHead, s.lines+1, problem, b)
		}
	}
	return nil
}

// next checks one byte, and returns what is wrong with it.
func (s *HeadScanner) next(b byte) (problem string) {
	switch s.state {
	case inVersion:
		return s.nextOfVersion(b)
	case beforeStatus, inStatus:
		return s.nextOfStatus(b)
	case inLine:
		if b == '\n' {
			s.state = atLineStart
			s.lines++
		}
	case atLineStart:
		return s.firstOfLine(b)
	case afterReturn:
		if b != '\n' {
			return "no line feed after a carriage return"
		}
		s.endHead()
	case inName:
		return s.nextOfName(b)
	}
	return ""
}

func (s *HeadScanner) nextOfVersion(b byte) (problem string) {
	switch b {
	case ' ':
		s.state, s.current = beforeStatus, s.matched == len(version)
	case '\n':
		return "no status"
	default:
		s.match(version, b)
	}
	return ""
}

func (s *HeadScanner) nextOfStatus(b byte) (problem string) {
	if b == ' ' && s.state == beforeStatus {
		return ""
	}
	s.state = inStatus
	if b < '0' || b > '9' {
		return "no digit of a status"
	}
	s.status = 10*s.status + int(b-'0')
	if s.digits++; s.digits < statusDigits {
		return ""
	}
	s.state = inLine
	// The clients never ask for another protocol, so 101 answers no request either.
	if s.status < http.StatusContinue || s.status == http.StatusSwitchingProtocols {
		return fmt.Sprintf("status %03d", s.status)
	}
	return ""
}

func (s *HeadScanner) firstOfLine(b byte) (problem string) {
	switch b {
	case '\n':
		s.endHead()
	case '\r':
		s.state = afterReturn
	case ' ', '\t':
		return "the line begins with a blank"
	case ':':
		return "the field has no name"
	default:
		s.state, s.matched = inName, 0
		return s.nextOfName(b)
	}
	return ""
}

func (s *HeadScanner) nextOfName(b byte) (problem string) {
	switch {
	case b == ':' && s.matched == len(encodingField) && !s.current:
		return "an encoding in another version than HTTP/1.1" // net/http ignores it
	case b == ':':
		s.state = inLine
	case !httpguts.IsTokenRune(rune(b)):
		return "not a character of a field name"
	default:
		s.match(encodingField, b)
	}
	return ""
}

// match compares the next byte of a version or name with the text that is expected.
func (s *HeadScanner) match(want string, b byte) {
	if 'A' <= b && b <= 'Z' {
		b += 'a' - 'A'
	}
	if s.matched >= 0 && s.matched < len(want) && want[s.matched] == b {
		s.matched++
	} else {
		s.matched = -1
	}
}

// endHead continues with the next head after that of an informational answer.
func (s *HeadScanner) endHead() {
	if s.status < http.StatusOK {
		*s = HeadScanner{lines: s.lines + 1}
		return
	}
	s.state = afterHead
}
