package forward

import (
	"net/http"

	"github.com/zinniaseam/zinniaseam/answers"
)

// upload is the writing of a request. It may go on while the answer is read, since an endpoint
// may answer before it has read the body.
type upload struct {
	conn *conn
	// hasBody is set if the request has a body.
	hasBody bool
	done    chan struct{}
	// err is valid once done is closed.
	err error
}

// startUpload writes a request. It returns at once if the body is larger than the buffer.
func (c *conn) startUpload(request *http.Request, bodyBytes int) *upload {
	u := &upload{conn: c, hasBody: bodyBytes > 0, done: make(chan struct{})}
	if bodyBytes <= writeBuffer {
		u.write(request)
	} else {
		go u.write(request)
	}
	return u
}

func (u *upload) write(request *http.Request) {
	defer close(u.done)
	if u.err = request.Write(u.conn.writer); u.err == nil {
		u.err = u.conn.writer.Flush()
	}
}

// written reports whether the complete request has been written.
func (u *upload) written() bool {
	select {
	case <-u.done:
		return u.err == nil
	default:
		return false
	}
}

// confirm waits until the endpoint has received the complete request. It returns an error if the
// connection ended before that.
func (u *upload) confirm() error {
	<-u.done
	if u.err != nil || !u.hasBody {
		return u.err
	}
	return answers.AwaitReceipt(u.conn.raw)
}
