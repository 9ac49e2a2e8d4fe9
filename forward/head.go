package forward

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"

	"github.com/zinniaseam/zinniaseam/answers"
)

const (
	// maxHeadBytes bounds the head of an answer, together with the informational answers
	// before it.
	maxHeadBytes = 16 << 10
	// maxInformational bounds the 1xx answers before the final one.
	maxInformational = 4
	// maxErrorBytes bounds the text of an error, since net/http quotes malformed lines.
	maxErrorBytes = 256
)

var errHeadTooLarge = fmt.Errorf("head of the answer larger than %d bytes", maxHeadBytes)

// headReader is a buffered reader of answers that bounds their heads. net/http bounds the
// lines between chunks and the trailers, but not the head that http.ReadResponse reads.
type headReader struct {
	*bufio.Reader
	source *limitedSource
}

func newHeadReader(connection io.Reader) *headReader {
	source := &limitedSource{connection: connection, left: math.MaxInt}
	return &headReader{Reader: bufio.NewReaderSize(source, readBuffer), source: source}
}

// readHead reads the head of the final answer to a request.
func (r *headReader) readHead(request *http.Request) (*http.Response, error) {
	r.source.left = maxHeadBytes - r.Buffered()
	defer func() { r.source.left = math.MaxInt }()
	r.source.head = answers.HeadScanner{}
	arrived, err := r.Peek(r.Buffered())
	if err == nil {
		err = r.source.head.Scan(arrived)
	}
	if err != nil {
		return nil, err
	}
	for range maxInformational {
		response, err := http.ReadResponse(r.Reader, request)
		if err != nil && r.source.left <= 0 {
			return nil, errHeadTooLarge // net/http reports a malformed line in some cases
		}
		if err != nil {
			return nil, shortened(err)
		}
		if response.StatusCode >= http.StatusOK {
			return response, nil
		}
	}
	return nil, fmt.Errorf("more than %d informational answers", maxInformational)
}

// shortened returns err, or an error with the beginning of its text if that is too long.
func shortened(err error) error {
	text := err.Error()
	if len(text) <= maxErrorBytes {
		return err
	}
	return errors.New(text[:maxErrorBytes] + "...")
}

// limitedSource reads from a connection and fails after a number of bytes, or at the first
// byte that can't belong to the head of an answer. It repeats the error that ended the
// connection, since the kernel reports a reset once and then the end of the stream.
type limitedSource struct {
	connection io.Reader
	left       int
	head       answers.HeadScanner
	err        error
}

// Read implements io.Reader.
func (s *limitedSource) Read(into []byte) (int, error) {
	if s.err != nil {
		return 0, s.err
	}
	if s.left <= 0 {
		return 0, errHeadTooLarge
	}
	n, err := s.connection.Read(into[:min(len(into), s.left)])
	if s.left != math.MaxInt {
		s.left -= n
	}
	if malformed := s.head.Scan(into[:n]); malformed != nil {
		n, err = 0, malformed
	}
	s.err = err
	return n, err
}
