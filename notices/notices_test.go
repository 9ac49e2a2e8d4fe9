package notices_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/zinniaseam/zinniaseam/boottime"
	"github.com/zinniaseam/zinniaseam/notices"
)

const start = boottime.Instant(time.Hour)

var subject = notices.Subject{Address: "10.0.0.1:80", ID: "a", Boot: 5}

func TestOnlyAnotherStartEndsANotice(t *testing.T) {
	g := NewWithT(t)
	b := notices.NewBook()
	b.Leaving(start, subject)
	for other, same := range map[notices.Subject]bool{
		subject:                                      true,
		{Address: subject.Address, ID: "a"}:          true, // its boot is not known
		{Address: subject.Address, Boot: 5}:          true, // its ID is not known
		{Address: "10.0.0.2:80", ID: "a"}:            false,
		{Address: subject.Address, ID: "b"}:          false,
		{Address: subject.Address, ID: "a", Boot: 6}: false,
	} {
		g.Expect(b.Lookup(other).Leaving).To(Equal(same), "%+v", other)
	}
}

func TestTimesToComeBackAreBounded(t *testing.T) {
	g := NewWithT(t)
	b := notices.NewBook()
	b.Close(start, subject, -time.Second)
	g.Expect(b.Lookup(subject).ClosedUntil).To(BeZero())
	b.Close(start, subject, time.Second)
	b.Close(start, subject, 500*time.Millisecond)
	g.Expect(b.Lookup(subject).ClosedUntil).To(Equal(start.Add(time.Second)))
	b.Close(start, subject, 1<<62)
	g.Expect(b.Lookup(subject).ClosedUntil).To(Equal(start.Add(notices.MaxPause)))
}

func TestNoticesOfEndpointsThatAreGoneAreForgotten(t *testing.T) {
	g := NewWithT(t)
	b := notices.NewBook()
	b.Leaving(start, subject)
	for i := range 1000 {
		b.Close(start, notices.Subject{Address: fmt.Sprint("10.1.0.", i%10, ":80"), ID: fmt.Sprint(i)}, time.Second)
	}
	g.Expect(b.Len()).To(BeNumerically("<=", 81), "bounded for each address")
	now := start.Add(time.Hour)
	b.Forget(now, func(address string) bool { return address == subject.Address })
	g.Expect(b.Len()).To(Equal(1))
	g.Expect(b.Lookup(subject).Leaving).To(BeTrue())
	b.Forget(now.Add(time.Hour), func(string) bool { return false })
	g.Expect(b.Len()).To(BeZero())
}
