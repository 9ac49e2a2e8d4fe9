package forward_test

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	. "github.com/onsi/gomega"

	"github.com/zinniaseam/zinniaseam/boottime"
	"github.com/zinniaseam/zinniaseam/forward"
	"github.com/zinniaseam/zinniaseam/membudget"
)

const bodyLimit = 1 << 20

// receive reads a body with a budget that other holds a part of.
func receive(from io.Reader, length int64, capacity, other int64) (forward.Body, *membudget.Budget, error) {
	budget := membudget.New(capacity)
	if other > 0 {
		budget.Open(membudget.Response, other, boottime.Now(), func() {})
	}
	holder := budget.Open(membudget.Request, forward.ReservedBytes(length), boottime.Now(), func() {})
	body, err := forward.ReadBody(from, length, bodyLimit, holder, boottime.Now)
	return body, budget, err
}

// Guards against bodies that are changed or cut at the borders of their segments.
func TestABodyIsReceivedUnchanged(t *testing.T) {
	for _, size := range []int{0, 1, 4 << 10, 4<<10 + 1, 100_000, bodyLimit - 1, bodyLimit} {
		data := make([]byte, size)
		for i := range data {
			data[i] = byte(i ^ i>>8)
		}
		for _, length := range []int64{-1, int64(size)} {
			for name, from := range map[string]io.Reader{
				"at once": bytes.NewReader(data), "halves": iotest.HalfReader(bytes.NewReader(data)), "end with data": iotest.DataErrReader(bytes.NewReader(data)),
			} {
				g := NewWithT(t)
				body, budget, err := receive(from, length, 64<<20, 0)
				g.Expect(err).NotTo(HaveOccurred(), "%s, %d bytes, length %d", name, size, length)
				g.Expect(body.Size()).To(Equal(size))
				got, err := io.ReadAll(body.Reader())
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(bytes.Equal(got, data)).To(BeTrue())
				g.Expect(budget.Used()).To(BeNumerically("<=", size+max(size, 4<<10)))
			}
		}
	}
}

// Guards against one-byte chunks that take more memory than larger ones.
func TestABodyInSingleBytesTakesMemoryInProportionToItsLength(t *testing.T) {
	g := NewWithT(t)
	const size = 300_000
	data := iotest.OneByteReader(strings.NewReader(strings.Repeat("x", size)))
	bytes := allocated(func() {
		_, _, err := receive(data, -1, 64<<20, 0)
		g.Expect(err).NotTo(HaveOccurred())
	})
	g.Expect(bytes).To(BeNumerically("<", 3*size))
}

// Guards against bodies that are read beyond their limit or their memory, or that end early.
func TestABodyThatCannotBeReceivedIsAnError(t *testing.T) {
	g := NewWithT(t)
	_, _, err := receive(strings.NewReader(strings.Repeat("x", bodyLimit+1)), -1, 64<<20, 0)
	g.Expect(forward.TooLong(err)).To(BeTrue(), "%v", err)
	_, _, err = receive(strings.NewReader(""), bodyLimit+1, 64<<20, 0)
	g.Expect(forward.TooLong(err)).To(BeTrue(), "%v", err)
	_, _, err = receive(strings.NewReader(strings.Repeat("x", bodyLimit)), -1, bodyLimit, bodyLimit/2)
	g.Expect(forward.NoMemory(err)).To(BeTrue(), "%v", err)
	_, _, err = receive(strings.NewReader("xx"), 3, 64<<20, 0)
	g.Expect(err).To(MatchError(io.ErrUnexpectedEOF))
	broken := errors.New("broken")
	_, _, err = receive(io.MultiReader(strings.NewReader("x"), iotest.ErrReader(broken)), -1, 64<<20, 0)
	g.Expect(err).To(MatchError(broken))
}
