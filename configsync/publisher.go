package configsync

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/zinniaseam/zinniaseam/catalogue"
	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/hlc"
)

const (
	// PublishTimeout bounds one publish including retries.
	PublishTimeout       = 8 * time.Second
	publishRetryInterval = 100 * time.Millisecond
	// zoneAttempts is the number of attempts of SetZone when concurrent
	// publishes conflict with it.
	zoneAttempts = 5
)

// Publisher publishes configuration sets for operators. It is safe for
// concurrent use.
type Publisher struct {
	client        Client
	holder        *Holder
	clock         *hlc.Clock
	ready         func() bool
	pullFromPeers func(ctx context.Context)
}

// Publish publishes set as the successor of revision base. Zone states that the
// set leaves empty are copied from the base. If responses of the store were
// lost, the outcome may be Unknown; see OutcomeKind.
func (p *Publisher) Publish(ctx context.Context, base uint64, set *catalogue.Set, author string) Outcome {
	return p.publish(ctx, base, Draft{Set: set, Author: author, KeepZoneStates: true})
}

// SetZone takes a zone out or in by publishing the newest set with only the
// state of that zone changed. It retries on conflicts with other publishes.
func (p *Publisher) SetZone(ctx context.Context, zone core.ZoneID, state catalogue.ZoneState, author string) Outcome {
	var outcome Outcome
	for range zoneAttempts {
		doc := p.holder.Current()
		set, known := setOf(doc).WithZoneState(zone, state)
		if !known {
			return Outcome{Kind: Rejected, Cause: CauseUnknownZone, Detail: fmt.Sprintf("Zone %q is not declared.", zone)}
		}
		draft := Draft{Set: set, Author: author, DecidedAt: map[core.ZoneID]hlc.Stamp{zone: p.clock.Now()}}
		outcome = p.publish(ctx, revisionOf(doc), draft)
		if outcome.Cause != CauseConflict {
			return outcome
		}
	}
	return outcome
}

func (p *Publisher) publish(ctx context.Context, base uint64, draft Draft) Outcome {
	known := p.holder.SetAt(base)
	if known == nil {
		known = &catalogue.Set{}
	}
	if problems := catalogue.Validate(draft.resolveZoneStates(known)); len(problems) > 0 {
		return invalid(problems)
	}
	if !p.ready() {
		return Outcome{Kind: Rejected, Cause: CauseNotReady, Detail: "This process has not heard of its peers yet; ask another or try again."}
	}
	ctx, cancel := context.WithTimeout(ctx, PublishTimeout)
	defer cancel()
	p.pullFromPeers(ctx)
	publication := NewPublication(base, draft, p.clock.Now(), p.holder.Current(), p.holder.SetAt(base))
	outcome := p.perform(ctx, publication)
	counters.Add("publish_"+string(outcome.Kind), 1)
	return outcome
}

// perform executes the steps of a publication until it is done or ctx ends.
func (p *Publisher) perform(ctx context.Context, publication *Publication) Outcome {
	for publication.Next() != StepDone && ctx.Err() == nil {
		before := publication.Next()
		err := p.performStep(ctx, publication)
		if errors.Is(err, ErrTooLarge) {
			return Outcome{Kind: Rejected, Cause: CauseTooLarge, Detail: err.Error()}
		}
		if err != nil || publication.Next() == before {
			sleep(ctx, publishRetryInterval)
		}
	}
	publication.GiveUp()
	return publication.Outcome()
}

func (p *Publisher) performStep(ctx context.Context, publication *Publication) error {
	if publication.Next() == StepRead {
		seen, err := readStore(ctx, p.client)
		if err != nil {
			publication.Failed(false)
			return err
		}
		p.holder.Offer(seen.Doc)
		publication.Read(seen)
		return nil
	}
	value, err := publication.Document().Encode()
	if err != nil {
		return err
	}
	_, swapped, err := p.client.CompareAndSwap(ctx, Key, value, publication.Previous())
	if err != nil {
		publication.Failed(mayBeApplied(err))
		return err
	}
	publication.Swapped(swapped)
	if swapped {
		p.holder.Offer(publication.Document())
	}
	return nil
}
