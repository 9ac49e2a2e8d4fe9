package notices_test

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/zinniaseam/zinniaseam/boottime"
	"github.com/zinniaseam/zinniaseam/notices"
)

// book is what a gateway remembers of notices.
type book interface {
	Leaving(now boottime.Instant, subject notices.Subject)
	Close(now boottime.Instant, subject notices.Subject, pause time.Duration)
	Lookup(subject notices.Subject) notices.State
	Forget(now boottime.Instant, registered func(address string) bool)
}

// registryBound forgets a notice with the endpoint's registry entry.
type registryBound struct{ notices.Book }

func newRegistryBound() *registryBound { return &registryBound{*notices.NewBook()} }

func (b *registryBound) Forget(now boottime.Instant, registered func(address string) bool) {
	kept := notices.NewBook()
	for _, address := range addresses {
		if registered(address) {
			for boot := range int64(maxBoots) {
				for _, id := range ids {
					subject := notices.Subject{Address: address, ID: id, Boot: boot}
					state := b.Lookup(subject)
					if state.Leaving {
						kept.Leaving(now, subject)
					}
					kept.Close(now, subject, state.ClosedUntil.Sub(now))
				}
			}
		}
	}
	b.Book = *kept
}

// byID takes all starts under an ID for one, byAddress all at an address.
type byID struct{ notices.Book }

func (b *byID) Leaving(now boottime.Instant, s notices.Subject) {
	b.Book.Leaving(now, notices.Subject{Address: s.Address, ID: s.ID})
}

type byAddress struct{ notices.Book }

func (b *byAddress) Leaving(now boottime.Instant, s notices.Subject) {
	b.Book.Leaving(now, notices.Subject{Address: s.Address})
}

// pauseless ignores times to come back.
type pauseless struct{ notices.Book }

func (b *pauseless) Close(boottime.Instant, notices.Subject, time.Duration) {}

var (
	addresses = []string{"10.0.0.1:80", "10.0.0.2:80", "10.0.0.3:80"}
	ids       = []string{"a", "b", "c", "d"}
)

const maxBoots = 40

// result is what a schedule showed.
type result struct {
	// wrong are the sends to endpoints that had said that they wanted none, missed the
	// endpoints that got nothing though nothing they said was in force.
	wrong, missed, sends int
}

// play runs one schedule: endpoints start, leave, lapse from the registry, start again under
// their ID or hand their address to another one, and answers arrive late, some after a
// suspension of the gateway.
func play(seed uint64, b book) result {
	random := rand.New(rand.NewPCG(seed, 1))
	now := boottime.Instant(time.Hour)
	type truth struct {
		left        bool
		closedUntil boottime.Instant
	}
	said := map[notices.Subject]*truth{}
	running := map[string]notices.Subject{}
	registered := map[string]bool{}
	boot := int64(1)
	start := func(address, id string) {
		boot++
		running[address], registered[address] = notices.Subject{Address: address, ID: id, Boot: boot}, true
		said[running[address]] = &truth{}
	}
	for i, address := range addresses {
		start(address, ids[i])
	}
	// answers are under way from starts of endpoints.
	var answers []notices.Subject
	var r result
	for range 60 {
		now = now.Add(time.Duration(random.IntN(300)) * time.Millisecond)
		if random.IntN(30) == 0 {
			now = now.Add(time.Duration(random.IntN(8)) * time.Second) // suspended
		}
		address := addresses[random.IntN(len(addresses))]
		switch random.IntN(10) {
		case 0:
			registered[address] = !registered[address]
		case 1:
			if boot < maxBoots-1 {
				start(address, running[address].ID)
			}
		case 2:
			if boot < maxBoots-1 {
				start(address, ids[random.IntN(len(ids))])
			}
		case 3, 4:
			if len(answers) > 0 {
				at := random.IntN(len(answers))
				subject := answers[at]
				answers = append(answers[:at], answers[at+1:]...)
				if random.IntN(2) == 0 {
					said[subject].left = true
					b.Leaving(now, subject)
				} else {
					pause := time.Duration(100+random.IntN(3000)) * time.Millisecond
					said[subject].closedUntil = max(said[subject].closedUntil, now.Add(pause))
					b.Close(now, subject, pause)
				}
			}
		}
		b.Forget(now, func(address string) bool { return registered[address] })
		for _, address := range addresses {
			if !registered[address] {
				continue
			}
			subject := running[address]
			state, known := b.Lookup(subject), said[subject]
			wanted := !known.left && !now.Before(known.closedUntil)
			sent := !state.Leaving && !now.Before(state.ClosedUntil)
			switch {
			case sent && !wanted:
				r.wrong++
			case !sent && wanted:
				r.missed++
			case sent:
				r.sends++
				answers = append(answers, subject)
			}
		}
	}
	return r
}

const schedules = 10_000

func TestNoScheduleSendsToAnEndpointThatWantsNothingOrPassesOverOneThatDoes(t *testing.T) {
	g := NewWithT(t)
	sends := 0
	for seed := range uint64(schedules) {
		r := play(seed, notices.NewBook())
		g.Expect(r.wrong).To(BeZero(), "seed %d", seed)
		g.Expect(r.missed).To(BeZero(), "seed %d", seed)
		sends += r.sends
	}
	g.Expect(sends).To(BeNumerically(">", schedules))
}

func TestSimplerBooksAreFoundOut(t *testing.T) {
	for name, c := range map[string]struct {
		new func() book
		// found counts the faults of the kind that the book must show.
		found func(r result) int
	}{
		"forgets with the registry entry": {func() book { return newRegistryBound() }, func(r result) int { return r.wrong }},
		"all starts under an ID":          {func() book { return &byID{*notices.NewBook()} }, func(r result) int { return r.missed }},
		"all starts at an address":        {func() book { return &byAddress{*notices.NewBook()} }, func(r result) int { return r.missed }},
		"ignores times to come back":      {func() book { return &pauseless{*notices.NewBook()} }, func(r result) int { return r.wrong }},
	} {
		t.Run(name, func(t *testing.T) {
			found := 0
			for seed := range uint64(200) {
				found += c.found(play(seed, c.new()))
			}
			NewWithT(t).Expect(found).To(BeNumerically(">", 0))
		})
	}
}
