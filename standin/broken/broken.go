// Package broken is a stand-in for servers whose answers are broken.
package broken

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
)

// Server answers the first request of each connection.
type Server struct {
	// Address is its host and port.
	Address string

	listener net.Listener
	open     sync.WaitGroup
}

// Answer writes the answer to a request, whose body is unread. The connection is closed afterwards;
// the kernel resets it if data is unread.
type Answer func(conn *net.TCPConn, request *http.Request)

// Serve starts a server on a loopback port.
func Serve(answer Answer) (*Server, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Server{Address: listener.Addr().String(), listener: listener}
	s.open.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			s.open.Go(func() {
				defer conn.Close()
				request, err := http.ReadRequest(bufio.NewReader(conn))
				if err == nil {
					answer(conn.(*net.TCPConn), request)
				}
			})
		}
	})
	return s, nil
}

// Close stops the server and waits for its answers to end.
func (s *Server) Close() {
	s.listener.Close()
	s.open.Wait()
}

// Heads returns variants of an answer with a broken head, by their problem. Whole is a complete
// answer with a Content-Length.
func Heads(whole string) map[string]string {
	head, body, _ := strings.Cut(whole, "\r\n\r\n")
	status, fields, _ := strings.Cut(head, "\r\n")
	var others []string
	for field := range strings.SplitSeq(fields, "\r\n") {
		if !strings.HasPrefix(field, "Content-Length:") {
			others = append(others, field)
		}
	}
	start := strings.Join(append([]string{status}, others...), "\r\n") + "\r\n"
	chunked := fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	half := body[:len(body)/2]
	heads := map[string]string{
		"status 000":                     "HTTP/1.1 000 Error\r\n" + fields + "\r\n\r\n" + body,
		"status 000 without a length":    "HTTP/1.1 000 Error\r\n\r\n" + body,
		"status 000, another answer":     "HTTP/1.1 000 Error\r\n\r\n" + whole,
		"length, space before the colon": fmt.Sprintf("%sContent-Length : %d\r\n\r\n%s", start, len(body), half),
		"length, leading space":          fmt.Sprintf("%sX: y\r\n Content-Length: %d\r\n\r\n%s", start, len(body), half),
		"length, control byte":           fmt.Sprintf("%sContent-\x01Length: %d\r\n\r\n%s", start, len(body), half),
		"coding, space before the colon": start + "Transfer-Encoding : chunked\r\n\r\n" + chunked,
		"coding, leading tab":            start + "X: y\r\n\tTransfer-Encoding: chunked\r\n\r\n" + chunked,
		"coding in HTTP/1.0":             strings.Replace(start, "HTTP/1.1", "HTTP/1.0", 1) + "Transfer-Encoding: chunked\r\n\r\n" + chunked,
		"other field, space within":      status + "\r\nX y: z\r\n" + fields + "\r\n\r\n" + body,
	}
	for _, code := range []string{"00", "099", "600", "799", "999", "1000", "2000"} {
		heads["status "+code] = "HTTP/1.1 " + code + " Error\r\n" + fields + "\r\n\r\n" + body
		heads["status "+code+", another answer"] = "HTTP/1.1 " + code + " Error\r\n\r\n" + whole
	}
	return heads
}

// CutHeads returns the prefixes of an answer that end within its head.
func CutHeads(whole string) []string {
	var cut []string
	for end := range strings.Index(whole, "\r\n\r\n") + len("\r\n\r\n") {
		cut = append(cut, whole[:end])
	}
	return cut
}
