package turnstore

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"dogwoodline.example/copyset"
)

const (
	// spareAsked is how many members beyond a majority get a short record at
	// once, so that one slow disk does not hold the operation up.
	spareAsked = 1
	// askRestAfter is how long an operation waits for the members that it was
	// sent to before it is sent to the others: several times what a sync and
	// the way between availability zones take.
	askRestAfter = 40 * time.Millisecond
)

// audience splits the members into those that get an operation at once and
// those that get it only if these do not suffice. A conversation goes to all,
// so that each availability zone has it near by; the short records of a budget
// go to a majority and a spare one, different ones for different programs.
// Members that are joining get everything, because they have not pulled it.
func (k *Keeper) audience(op Operation, near string) (first, rest []copyset.Member) {
	program := ""
	for _, record := range op.Records {
		switch {
		case record.GetTurn() != nil:
			return k.set.Members, nil
		case record.GetReservation() != nil:
			program = record.GetReservation().Program
		case record.GetSettlement() != nil:
			program = record.GetSettlement().Program
		}
	}
	wanted := k.set.Majority() + spareAsked
	offset := int(xxhash.Sum64String(program) % uint64(max(1, len(k.set.Members))))
	for i := range k.set.Members {
		m := k.set.Members[(offset+i)%len(k.set.Members)]
		slot, known := k.slotOf[m.Disk]
		switch {
		case !m.Ready, m.Disk == near:
			first = append(first, m)
		case wanted > 1 && known && !k.senders[slot].failing.Load(): // the near one is wanted too
			first = append(first, m)
			wanted--
		default:
			rest = append(rest, m)
		}
	}
	return first, rest
}

// lateOperation names an operation that was not sent to all members.
type lateOperation struct {
	id  uint64
	due time.Time
}

// remind has the other members asked when an operation is not decided in time.
func (k *Keeper) remind(id uint64, now time.Time) {
	if len(k.late) == 0 {
		k.alarm.Reset(askRestAfter)
	}
	k.late = append(k.late, lateOperation{id: id, due: now.Add(askRestAfter)})
}

// askRest sends the operations that are due to the members that were left out.
func (k *Keeper) askRest(now time.Time) {
	for len(k.late) > 0 {
		due := k.late[0].due
		if now.Before(due) {
			k.alarm.Reset(due.Sub(now))
			return
		}
		if p := k.pending[k.late[0].id]; p != nil && !p.done {
			k.widen(k.late[0].id, p)
			k.decide(k.late[0].id, p)
		}
		k.late = k.late[1:]
	}
	k.late = nil
}

// widen sends an operation to the members that were left out.
func (k *Keeper) widen(id uint64, p *pending) {
	rest := p.rest
	p.rest = nil
	for _, m := range rest {
		k.send(id, p, m, message{records: p.op.Records})
	}
}
