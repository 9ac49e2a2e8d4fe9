package peers

const (
	// prefaceBytes is the length of what a client sends before its first frame (RFC 9113, 3.4).
	prefaceBytes = 24
	// frameHeadBytes is the length of a frame's head, typeOffset that of its type (RFC 9113, 4.1).
	frameHeadBytes = 9
	typeOffset     = 3
	typeData       = 0
)

// frameScanner finds the DATA frames among the bytes that a client sends on an HTTP/2 connection.
type frameScanner struct {
	// passed is the number of bytes of the preface that have been passed.
	passed int
	// head is the head of the present frame, of which headBytes have been read.
	head      [frameHeadBytes]byte
	headBytes int
	// rest is what is missing of the present frame's content.
	rest int
}

// scan returns the number of DATA frames that begin in part, the next bytes of the connection, and
// the size of what part has of their content.
func (s *frameScanner) scan(part []byte) (frames, size int64) {
	skipped := min(prefaceBytes-s.passed, len(part))
	s.passed += skipped
	part = part[skipped:]
	for len(part) > 0 {
		if s.headBytes < frameHeadBytes {
			n := copy(s.head[s.headBytes:], part)
			s.headBytes += n
			part = part[n:]
			if s.headBytes < frameHeadBytes {
				break
			}
			s.rest = int(s.head[0])<<16 | int(s.head[1])<<8 | int(s.head[2])
			if s.head[typeOffset] == typeData {
				frames++
			}
		}
		n := min(s.rest, len(part))
		if s.head[typeOffset] == typeData {
			size += int64(n)
		}
		s.rest -= n
		part = part[n:]
		if s.rest == 0 {
			s.headBytes = 0
		}
	}
	return frames, size
}
