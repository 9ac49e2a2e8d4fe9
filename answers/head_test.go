package answers_test

import (
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/zinniaseam/zinniaseam/answers"
)

// scan scans data in parts of the given sizes, the last of which repeats.
func scan(data string, sizes ...int) error {
	var scanner answers.HeadScanner
	for i := 0; len(data) > 0; i++ {
		size := min(sizes[min(i, len(sizes)-1)], len(data))
		if err := scanner.Scan([]byte(data[:size])); err != nil {
			return err
		}
		data = data[size:]
	}
	return nil
}

// heads are complete heads, and whether they are accepted.
var heads = map[string]bool{
	"HTTP/1.1 200 OK\r\n\r\n":                                   true,
	"HTTP/1.1 200\r\n\r\n":                                      true,
	"HTTP/1.0  200 OK\n\n":                                      true,
	"HTTP/1.1 599 x\r\nA: b\r\nC:d\r\n\r\n":                     true,
	"HTTP/1.1 204\n\n":                                          true,
	"HTTP/1.1 304 Not Modified\r\n\r\n":                         true,
	"HTTP/1.1 199 x\r\n\r\nHTTP/1.1 200\r\n\r\n":                true,
	"HTTP/1.1 200 OK\r\nA: b : c\r\n\r\nAny thing: \x00 after":  true,
	"HTTP/1.1 100 Continue\r\nA: b\r\n\r\nHTTP/1.1 200\r\n\r\n": true,

	"HTTP/1.1 200\r\n!#$%&'*+-.^_`|~09azAZ: x\r\n\r\n": true,
	"HTTP/1.1 200\r\nA:\r\nB: \t c d\r\n\r\n":          true,

	"HTTP/1.1 200\r\nTransfer-Encoding: chunked\r\n\r\n":                                     true,
	"HTTP/1.0 200\r\nTransfer-Encodings: x\r\nTransfer: y\r\nX-Transfer-Encoding: z\r\n\r\n": true,
	"HTTP/1.0 200\r\nA: b\r\ntransfer-encoding: chunked\r\n\r\n":                             false,
	"HTTP/1.1 100\r\n\r\nHTTP/1.0 200\r\nTransfer-Encoding: chunked\r\n\r\n":                 false,
	"HTTP/1.11 200\r\nTransfer-Encoding: chunked\r\n\r\n":                                    false,

	"HTTP/1.1 200 OK\r\nA : b\r\n\r\n":                        false,
	"HTTP/1.1 200 OK\r\nA b: c\r\n\r\n":                       false,
	"HTTP/1.1 200 OK\r\n A: b\r\n\r\n":                        false,
	"HTTP/1.1 200 OK\r\nA: b\r\n B: c\r\n\r\n":                false,
	"HTTP/1.1 200 OK\r\nA: b\r\n\tB: c\r\n\r\n":               false,
	"HTTP/1.1 200 OK\r\nA: b\r\n \r\n\r\n":                    false,
	"HTTP/1.1 200 OK\r\nA\x00: b\r\n\r\n":                     false,
	"HTTP/1.1 200 OK\r\nA\x7f: b\r\n\r\n":                     false,
	"HTTP/1.1 200 OK\r\nA\xf6: b\r\n\r\n":                     false,
	"HTTP/1.1 200 OK\r\nA\r: b\r\n\r\n":                       false,
	"HTTP/1.1 200 OK\r\n: b\r\n\r\n":                          false,
	"HTTP/1.1 200 OK\r\nA\r\n\r\n":                            false,
	"HTTP/1.1 103 Hints\r\nA : b\r\n\r\nHTTP/1.1 200\r\n\r\n": false,

	"HTTP/1.1 000 Error\r\n\r\n":                              false,
	"HTTP/1.1 099 Error\r\n\r\n":                              false,
	"HTTP/1.1 101 Other\r\n\r\n":                              false,
	"HTTP/1.1 00 Error\r\n\r\n":                               false,
	"HTTP/1.1 600 Error\r\n\r\n":                              false,
	"HTTP/1.1 799 Error\r\n\r\n":                              false,
	"HTTP/1.1 999 x\r\nA: b\r\nC:d\r\n\r\n":                   false,
	"HTTP/1.1 600\r\n\r\n":                                    false,
	"HTTP/1.1 1000 Error\r\n\r\n":                             false,
	"HTTP/1.1 1000 x\r\n\r\nHTTP/1.1 200\r\n\r\n":             false,
	"HTTP/1.1 2000 Error\r\n\r\n":                             false,
	"HTTP/1.1 200x\r\n\r\n":                                   false,
	"HTTP/1.1 200\tOK\r\n\r\n":                                false,
	"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 600 Error\r\n\r\n": false,
	"HTTP/1.1 -00 Error\r\n\r\n":                              false,
	"HTTP/1.1 +20 Error\r\n\r\n":                              false,
	"HTTP/1.1 20 OK\r\n\r\n":                                  false,
	"HTTP/1.1\r\n\r\n":                                        false,
	"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 Error\r\n\r\n": false,
	"HTTP/1.1 200 OK\r\nA: b\r\n\rHTTP/1.1":                   false,
}

func TestAHeadIsJudgedAlikeInAnySplit(t *testing.T) {
	for head, accepted := range heads {
		t.Run(head, func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				err := scan(head, rapid.SliceOfN(rapid.IntRange(1, 40), 1, 20).Draw(t, "sizes")...)
				if accepted {
					NewWithT(t).Expect(err).NotTo(HaveOccurred())
				} else {
					NewWithT(t).Expect(err).To(MatchError(answers.ErrMalformedHead))
				}
			})
		})
	}
}
