package forward

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"regexp"
	"slices"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/zinniaseam/zinniaseam/answers"
)

// packets is a connection on which data arrives in packets of the given sizes, the last of
// which repeats.
type packets struct {
	data  []byte
	sizes []byte
}

func (p *packets) Read(into []byte) (int, error) {
	if len(p.data) == 0 {
		return 0, io.EOF
	}
	size := 1
	if len(p.sizes) > 0 {
		size += int(p.sizes[0])
	}
	if len(p.sizes) > 1 {
		p.sizes = p.sizes[1:]
	}
	n := copy(into[:min(len(into), size)], p.data)
	p.data = p.data[n:]
	return n, nil
}

var fieldStart = regexp.MustCompile("^[!#$%&'*+\\-.^_`|~0-9A-Za-z]+:")

// namesFields reports whether each complete line of a head, but for the first and the empty one,
// begins with the name of a field and a colon.
func namesFields(head []byte) bool {
	for i, line := range bytes.SplitAfter(head, []byte("\n")) {
		switch line = bytes.TrimSuffix(line, []byte("\n")); {
		case i == 0:
		case len(line) == 0, string(line) == "\r":
			return true
		case !fieldStart.Match(line):
			return false
		}
	}
	return true
}

var encodingLine = regexp.MustCompile("(?i)^transfer-encoding:")

// encodesOlder reports whether a head in another version than HTTP/1.1 declares an encoding.
func encodesOlder(head []byte) bool {
	lines := bytes.Split(head, []byte("\n"))
	if bytes.HasPrefix(lines[0], []byte("HTTP/1.1 ")) {
		return false
	}
	end := slices.IndexFunc(lines, func(line []byte) bool { return len(line) == 0 || string(line) == "\r" })
	return slices.ContainsFunc(lines[:max(end, 0)], encodingLine.Match)
}

// readWhole reads an answer without the limit of its head, and readPackets with it.
func readWhole(data []byte) (*http.Response, []byte, error) {
	source := bytes.NewReader(data)
	reader := bufio.NewReader(source)
	for range maxInformational {
		if head := data[len(data)-source.Len()-reader.Buffered():]; !namesFields(head) || encodesOlder(head) {
			return nil, nil, answers.ErrMalformedHead
		}
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			return nil, nil, err
		}
		if response.StatusCode < http.StatusContinue || response.StatusCode > 599 || response.StatusCode == http.StatusSwitchingProtocols {
			return nil, nil, answers.ErrMalformedHead
		}
		if response.StatusCode >= http.StatusOK {
			body, err := io.ReadAll(response.Body)
			return response, body, err
		}
	}
	return nil, nil, io.ErrUnexpectedEOF
}

func readPackets(data, sizes []byte) (*http.Response, []byte, error) {
	reader := newHeadReader(&packets{data: data, sizes: sizes})
	if _, err := reader.Peek(1); err != nil { // as await does
		return nil, nil, err
	}
	response, err := reader.readHead(nil)
	if err != nil {
		return nil, nil, err
	}
	body, err := io.ReadAll(response.Body)
	return response, body, err
}

func expectSame(g Gomega, data, sizes []byte) {
	want, wantBody, wantErr := readWhole(data)
	got, gotBody, gotErr := readPackets(data, sizes)
	if wantErr != nil {
		g.Expect(gotErr).To(HaveOccurred())
		return
	}
	g.Expect(gotErr).NotTo(HaveOccurred())
	g.Expect(got.StatusCode).To(Equal(want.StatusCode))
	g.Expect(got.Header).To(Equal(want.Header))
	g.Expect(got.Trailer).To(Equal(want.Trailer))
	g.Expect(gotBody).To(Equal(wantBody))
}

// headOf returns an answer with a head of the given size.
func headOf(size int) string {
	const start, end = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nX: ", "\r\n\r\n"
	return start + strings.Repeat("x", size-len(start)-len(end)) + end
}

var bodies = []string{
	"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody",
	"HTTP/1.1 200 OK\r\n\r\nuntil the end",
	"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: T\r\n\r\n4;x=y\r\nbody\r\n0\r\nT: t\r\n\r\n",
	"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n",
	headOf(4<<10) + "body",
	headOf(maxHeadBytes) + "body",
	"HTTP/1.1 000 Error\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody",
	"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 099 Error\r\n\r\nHTTP/1.1 200 OK\r\n\r\nbody",
	"HTTP/1.1 600 Error\r\nContent-Length: 4\r\n\r\nbody",
	"HTTP/1.1 599 Error\r\nContent-Length: 4\r\n\r\nbody",
	"HTTP/1.1 304 Not Modified\r\nContent-Length: 4\r\n\r\n",
	"HTTP/1.1 1000 Error\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody",
	"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
	"HTTP/1.0 200 OK\r\nContent-Length: 4\r\n\r\nbody",
	"HTTP/1.1 200 OK\r\nContent-Length : 30\r\n\r\nbody",
	"HTTP/1.1 200 OK\r\nX: y\r\n Content-Length: 30\r\n\r\nbody",
	"HTTP/1.1 100 Continue\r\nX Y: z\r\n\r\nHTTP/1.1 200 OK\r\n\r\nbody",
	"HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n" + strings.Repeat("x", 100000),
}

func TestAnAnswerIsReadInAnySplitIntoPackets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		data := []byte(rapid.SampledFrom(bodies).Draw(t, "answer"))
		expectSame(NewWithT(t), data, rapid.SliceOfN(rapid.Byte(), 1, 50).Draw(t, "sizes"))
	})
}

func TestAHeadOverTheLimitIsRejectedInAnySplitIntoPackets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		data := []byte(headOf(maxHeadBytes+rapid.IntRange(1, 4<<10).Draw(t, "excess")) + "body")
		_, _, err := readPackets(data, rapid.SliceOfN(rapid.Byte(), 1, 50).Draw(t, "sizes"))
		NewWithT(t).Expect(err).To(MatchError(errHeadTooLarge))
	})
}

func FuzzHeads(f *testing.F) {
	for _, body := range bodies {
		f.Add([]byte(body), []byte{0, 255, 3})
	}
	f.Fuzz(func(t *testing.T, data, sizes []byte) {
		if len(data) <= maxHeadBytes {
			expectSame(NewWithT(t), data, sizes)
		}
	})
}
