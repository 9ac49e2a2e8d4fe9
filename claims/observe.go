package claims

import (
	"fmt"

	"github.com/zinniaseam/zinniaseam/core"
)

// operatorView is the part of a partition's state that is reported to operators.
type operatorView struct {
	owned bool
	epoch uint64
	down  bool
	lost  core.VMID
	// notHandedOver is set if the process stops without handing the partition over.
	notHandedOver bool
	// nearUntimedLimit is set if the number of sealed keys without a time is close to
	// MaxUntimed.
	nearUntimedLimit bool
}

// untimedAlarmShare is the share of MaxUntimed at which an alarm is raised.
const untimedAlarmShare = 0.8

func (p *partition) operatorView() operatorView {
	s := operatorView{owned: p.owned, epoch: p.head.Group.Epoch, down: p.store.down, notHandedOver: p.owned && p.abandonsHandover()}
	s.nearUntimedLimit = float64(p.sealed.untimed) >= untimedAlarmShare*float64(p.config.MaxUntimed)
	if p.now.Before(p.lostUntil) {
		s.lost = p.lostTo
	}
	return s
}

// observeChange reports the changes between two states of the partition.
func (w *worker) observeChange(before, after operatorView) {
	if w.observe == nil || before == after {
		return
	}
	number := w.id.number
	switch {
	case after.owned && (!before.owned || after.epoch != before.epoch):
		w.report(false, fmt.Sprintf("Partition %d taken over at epoch %d.", number, after.epoch))
	case after.lost != "" && before.lost == "":
		w.report(false, fmt.Sprintf("Partition %d lost to VM %s.", number, after.lost))
	case before.owned && !after.owned:
		w.report(false, fmt.Sprintf("Partition %d given up.", number))
	}
	if after.notHandedOver && !before.notHandedOver {
		w.report(true, fmt.Sprintf("Partition %d is not handed over because the platform does not respond; its latest answers are lost.", number))
	}
	if after.nearUntimedLimit && !before.nearUntimedLimit {
		w.report(true, fmt.Sprintf("Partition %d is near its limit of keys without a time and will then reject them; callers should use version 7 UUIDs.", number))
	}
	switch {
	case after.down && !before.down:
		w.report(true, fmt.Sprintf("Partition %d rejects claims because the platform does not accept them.", number))
	case before.down && !after.down:
		w.report(false, fmt.Sprintf("Partition %d accepts claims again.", number))
	}
}

func (w *worker) report(alarm bool, text string) {
	w.observe(Observation{Service: w.id.service, Text: text, Alarm: alarm})
}

// observeCall reports a decision about one call.
func (w *worker) observeCall(request core.RequestID, text string) {
	if w.observe != nil {
		w.observe(Observation{Service: w.id.service, Request: request, Text: text})
	}
}
