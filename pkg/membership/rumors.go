package membership

import (
	"container/list"
	"math/bits"
	"net/netip"
	"slices"
	"time"

	"github.com/papayapath/papayapath/pkg/message"
)

const (
	// maxPiggyback bounds the reports on one probe or answer.
	maxPiggyback = 8
	// maxPush bounds the reports in one update.
	maxPush = 64
	// spread is the number of times that a report is passed on for each
	// doubling of the number of members.
	spread = 2
	// lifetime is the time for which a report is passed on. Sending it at once
	// reaches nearly all members within a second, and digests the rest.
	lifetime = 5 * time.Second
)

// rumors are reports that are passed on for a while.
type rumors struct {
	queue  *list.List // of *rumor; new ones come first
	places map[netip.AddrPort]*list.Element
	fresh  []netip.AddrPort // to be sent at once
}

type rumor struct {
	report message.Member
	sent   int
	end    time.Time
}

func newRumors() rumors {
	return rumors{queue: list.New(), places: make(map[netip.AddrPort]*list.Element)}
}

// add passes on a report in place of an older one on the same address. An
// urgent one is also sent to some members at once.
func (r *rumors) add(now time.Time, report message.Member, urgent bool) {
	address := report.ID.Address()
	if old := r.find(address); old != nil {
		if report.Metadata == nil && old.report.ID == report.ID {
			// The receivers may not have seen the facts yet.
			report.Metadata = old.report.Metadata
		}
		r.drop(address)
	}
	r.places[address] = r.queue.PushFront(&rumor{report: report, end: now.Add(lifetime)})
	if urgent && !slices.Contains(r.fresh, address) {
		r.fresh = append(r.fresh, address)
	}
}

func (r *rumors) find(address netip.AddrPort) *rumor {
	if place := r.places[address]; place != nil {
		return place.Value.(*rumor)
	}
	return nil
}

func (r *rumors) drop(address netip.AddrPort) {
	r.queue.Remove(r.places[address])
	delete(r.places, address)
}

// pick returns the reports that were not passed on for the longest time, and
// counts them as passed on. Members is the number of members in the table.
func (r *rumors) pick(now time.Time, members int) []message.Member {
	var reports []message.Member
	for range r.queue.Len() {
		if len(reports) == maxPiggyback {
			break
		}
		place := r.queue.Front()
		u := place.Value.(*rumor)
		if !now.Before(u.end) {
			r.drop(u.report.ID.Address())
			continue
		}
		reports = append(reports, u.report)
		r.queue.MoveToBack(place)
		u.sent++
		if u.sent >= spread*bits.Len(uint(members)) {
			r.drop(u.report.ID.Address())
		}
	}
	return reports
}

// take returns the reports that are to be sent at once, in parts that fit into
// one update each.
func (r *rumors) take() [][]message.Member {
	if len(r.fresh) == 0 {
		return nil
	}
	reports := make([]message.Member, 0, len(r.fresh))
	for _, address := range r.fresh {
		if u := r.find(address); u != nil {
			reports = append(reports, u.report)
		}
	}
	r.fresh = r.fresh[:0]
	return slices.Collect(slices.Chunk(reports, maxPush))
}
