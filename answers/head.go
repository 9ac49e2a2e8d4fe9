package answers

import (
	"errors"
	"fmt"
	"net/http"

	"golang.org/x/net/http/httpguts"
)

// ErrMalformedHead means that the head of an answer is not valid HTTP/1.1. What follows it may be
// framed differently than it seems.
var ErrMalformedHead = errors.New("malformed head")

// HeadScanner checks the head of an answer, and the informational answers before it, as their
// bytes arrive. It rejects what net/http accepts: status codes outside of 100 to 599 and 101,
// whitespace in field names, folded lines, which can't be told from field names that begin with
// whitespace, and transfer codings in versions before HTTP/1.1. It is not a parser: it accepts
// heads that net/http rejects. The zero value is ready for the first byte.
type HeadScanner struct {
	state scanState
	// lines is the number of complete lines before the present one.
	lines int
	// status is the status code so far, digits the number of its digits.
	status, digits int
	// matched is the number of bytes of the present version or field name that equal the start of
	// currentVersion or codingField, -1 if one differs.
	matched int
	// current is set if the version is currentVersion.
	current bool
}

// scanState is the part of the head to which the next byte belongs.
type scanState uint8

const (
	inVersion scanState = iota
	beforeStatus
	inStatus
	afterStatus
	inLine
	atLineStart
	afterReturn
	inName
	afterHead
)

const (
	// statusDigits is the number of digits of a status code.
	statusDigits = 3
	// maxStatus is the highest valid status code, see RFC 9110, section 15.
	maxStatus = 599
	// currentVersion and codingField are in lower case.
	currentVersion = "http/1.1"
	codingField    = "transfer-encoding"
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
	case afterStatus:
		return s.endOfStatus(b)
	case inLine:
		if b == '\n' {
			s.endLine()
		}
	case atLineStart:
		return s.firstOfLine(b)
	case afterReturn:
		if b != '\n' {
			return "carriage return without a line feed"
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
		s.state, s.current = beforeStatus, s.matched == len(currentVersion)
	case '\n':
		return "status line without a status code"
	default:
		s.match(currentVersion, b)
	}
	return ""
}

func (s *HeadScanner) nextOfStatus(b byte) (problem string) {
	if b == ' ' && s.state == beforeStatus {
		return ""
	}
	s.state = inStatus
	if b < '0' || b > '9' {
		return "invalid byte in the status code"
	}
	s.status = 10*s.status + int(b-'0')
	if s.digits++; s.digits < statusDigits {
		return ""
	}
	s.state = afterStatus
	// No request asks for an upgrade, so 101 is as invalid as a status code below 100.
	if s.status < http.StatusContinue || s.status > maxStatus || s.status == http.StatusSwitchingProtocols {
		return fmt.Sprintf("status code %03d", s.status)
	}
	return ""
}

// endOfStatus checks the byte after the last digit of the status code. Without it, 1000 would be
// taken for 100, and the rest of the answer for the next head.
func (s *HeadScanner) endOfStatus(b byte) (problem string) {
	switch b {
	case ' ', '\r':
		s.state = inLine
	case '\n':
		s.endLine()
	default:
		return "invalid byte after the status code"
	}
	return ""
}

func (s *HeadScanner) endLine() {
	s.state = atLineStart
	s.lines++
}

func (s *HeadScanner) firstOfLine(b byte) (problem string) {
	switch b {
	case '\n':
		s.endHead()
	case '\r':
		s.state = afterReturn
	case ' ', '\t':
		return "line begins with whitespace"
	case ':':
		return "empty field name"
	default:
		s.state, s.matched = inName, 0
		return s.nextOfName(b)
	}
	return ""
}

func (s *HeadScanner) nextOfName(b byte) (problem string) {
	switch {
	case b == ':' && s.matched == len(codingField) && !s.current:
		return "transfer coding in another version than HTTP/1.1" // net/http ignores it
	case b == ':':
		s.state = inLine
	case !httpguts.IsTokenRune(rune(b)):
		return "invalid byte in a field name"
	default:
		s.match(codingField, b)
	}
	return ""
}

// match compares the next byte of a version or field name with want.
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
