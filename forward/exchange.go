package forward

import (
	"cmp"
	"context"
	"errors"
	"expvar"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/membudget"
)

// Answer is the head of an endpoint's answer. Its body must be read to the end or
// closed.
type Answer struct {
	Status         int
	Header         http.Header
	Classification Classification
	Provenance     Provenance
	// Framed is set if the message marks the length or the end of the body. Otherwise the
	// body ends when the endpoint closes the connection; a reset interrupts it.
	Framed bool
	body   io.ReadCloser
	// length is the length of the body, -1 if it is not known.
	length int64
	conn   *conn
	upload *upload
	// The end of ctx closes the connection. stop prevents that; it returns false if ctx has
	// ended.
	ctx   context.Context
	stop  func() bool
	ended bool
	reuse bool
	// memory holds the body that ReadAll has read, nil before. evicted is called if its bytes
	// are needed while it is passed on.
	memory  *membudget.Holder
	evicted func()
}

var (
	errUnexpectedBytes = errors.New("unexpected bytes")
	// strayAnswers counts what arrived on connections and answered none of their requests.
	strayAnswers = expvar.NewMap("stray_answers")
)

// maxLoggedID bounds the request ID of an answer in an error, in bytes.
const maxLoggedID = 64

// Do sends an attempt and waits for the head of its answer. mayRepeat is set if the call
// may run more than once, so that any idle connection may be used. When ctx ends, the
// connection is closed, which cancels the endpoint's work. Errors wrap ErrNotSent or
// ErrNoAnswer.
func (p *Pool) Do(ctx context.Context, dialect Dialect, attempt Attempt, mayRepeat bool) (*Answer, error) {
	c, err := p.get(ctx, attempt.Endpoint.Address, attempt.Call.ID, mayRepeat)
	if err != nil {
		return nil, err
	}
	if attempt.Start != nil {
		remaining, permitted := attempt.Start()
		if !permitted {
			c.close()
			return nil, ErrWithdrawn
		}
		attempt.Remaining = remaining
	}
	stop := context.AfterFunc(ctx, c.close)
	answer, err := c.exchange(dialect, attempt)
	if err != nil {
		stop()
		c.close()
		if ctx.Err() != nil {
			return nil, fmt.Errorf("%w from %s: %w", ErrNoAnswer, attempt.Endpoint.Address, context.Cause(ctx))
		}
		return nil, err
	}
	answer.ctx, answer.stop = ctx, stop
	return answer, nil
}

// exchange sends a request and reads the head of its answer. It writes a long body
// while it waits for the answer, since an endpoint may answer before it has read the
// body.
func (c *conn) exchange(dialect Dialect, attempt Attempt) (*Answer, error) {
	// Nothing that arrives before the request answers it.
	select {
	case err := <-c.readable:
		strayAnswers.Add("premature", 1)
		return nil, fmt.Errorf("%w: %s wrote or closed first: %w", ErrNotSent, c.address, cmp.Or(err, errUnexpectedBytes))
	default:
	}
	request := dialect.Request(attempt)
	provenance := Provenance{Exchanges: c.exchanges}
	upload := c.startUpload(request, attempt.Call.Body.Size())
	if err := <-c.readable; err != nil {
		return nil, fmt.Errorf("%w from %s: %w", ErrNoAnswer, c.address, err)
	}
	response, err := c.reader.readHead(request)
	if err != nil {
		return nil, fmt.Errorf("%w from %s: %w", ErrNoAnswer, c.address, err)
	}
	provenance.RequestWritten = upload.written()
	classification := dialect.Classify(attempt, response)
	if attempt.Received != nil {
		attempt.Received(classification)
	}
	if classification.Mismatched {
		strayAnswers.Add(strayKind(classification.AnswerID), 1)
		return nil, fmt.Errorf("%w from %s: the received answer, status %d of request %.*q, belongs to another request (%+v)",
			ErrNoAnswer, c.address, response.StatusCode, maxLoggedID, classification.AnswerID, provenance)
	}
	if classification.NotRun {
		c.rejected = append(c.rejected, attempt.Call.ID)
	}
	length := response.ContentLength
	if response.Body == http.NoBody {
		length = 0 // the answer to a HEAD request declares the length of another body
	}
	answer := &Answer{
		Status: response.StatusCode, Header: response.Header, Classification: classification, Provenance: provenance, body: response.Body, length: length, conn: c, upload: upload,
		Framed: length >= 0 || len(response.TransferEncoding) > 0,
	}
	answer.reuse = provenance.RequestWritten && answer.Framed && !response.Close
	c.keepFor = keepFor(response.Header)
	return answer, nil
}

func strayKind(id core.RequestID) string {
	if id == "" {
		return "unnamed"
	}
	return "other_request"
}

// keepFor returns how long a connection may be kept idle according to the answer's
// Keep-Alive header.
func keepFor(header http.Header) time.Duration {
	for part := range strings.SplitSeq(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil && seconds > 0 {
			return max(time.Duration(seconds)*time.Second-idleMargin, 0)
		}
	}
	return defaultIdle
}

// Read implements io.Reader over the body.
func (a *Answer) Read(into []byte) (int, error) {
	n, err := a.body.Read(into)
	if err == io.EOF && !a.Framed {
		if interrupted := a.interrupted(); interrupted != nil {
			a.Close()
			return n, interrupted
		}
	}
	if err == io.EOF {
		a.finish(a.reuse)
	}
	return n, err
}

// interrupted returns an error if an unframed body was interrupted although the reader saw io.EOF:
// the kernel reports a reset only once, possibly to the goroutine that writes the request. It
// waits until the endpoint has received the request.
func (a *Answer) interrupted() error {
	err := a.upload.confirm()
	if a.ctx.Err() != nil {
		return fmt.Errorf("connection closed: %w", context.Cause(a.ctx)) // the endpoint may have crashed since
	}
	if err != nil {
		return fmt.Errorf("connection ended before the request was received: %w", err)
	}
	return nil
}

// Close ends the exchange. If the body was not read to its end, the connection is
// closed. The body that ReadAll returned must not be used any more.
func (a *Answer) Close() {
	a.finish(false)
	a.release()
}

func (a *Answer) finish(reuse bool) {
	if a.ended {
		return
	}
	a.ended = true
	if a.stop() && reuse {
		a.conn.release()
		return
	}
	a.conn.close()
}
