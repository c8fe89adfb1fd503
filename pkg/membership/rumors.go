package membership

import (
	"math/bits"
	"net/netip"
	"slices"

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
)

// rumors are reports that are passed on for a while.
type rumors struct {
	reports map[netip.AddrPort]*rumor
	fresh   []netip.AddrPort // to be sent at once
}

type rumor struct {
	report message.Member
	sent   int
}

func newRumors() rumors { return rumors{reports: make(map[netip.AddrPort]*rumor)} }

// add passes on a report in place of an older one on the same address. An
// urgent one is also sent to some members at once.
func (r *rumors) add(report message.Member, urgent bool) {
	address := report.ID.Address()
	if old := r.reports[address]; old != nil && report.Facts == nil && old.report.ID == report.ID {
		// The receivers may not have seen the facts yet.
		report.Facts = old.report.Facts
	}
	r.reports[address] = &rumor{report: report}
	if urgent && !slices.Contains(r.fresh, address) {
		r.fresh = append(r.fresh, address)
	}
}

// pick returns the reports that were passed on least often, and counts them as
// passed on. Members is the number of members in the table.
func (r *rumors) pick(members int) []message.Member {
	if len(r.reports) == 0 {
		return nil
	}
	picked := make([]*rumor, 0, len(r.reports))
	for _, u := range r.reports {
		picked = append(picked, u)
	}
	slices.SortFunc(picked, func(a, b *rumor) int {
		if a.sent != b.sent {
			return a.sent - b.sent
		}
		return a.report.ID.Compare(b.report.ID)
	})
	picked = picked[:min(len(picked), maxPiggyback)]
	reports := make([]message.Member, len(picked))
	for i, u := range picked {
		reports[i] = u.report
		r.count(u, members)
	}
	return reports
}

func (r *rumors) count(u *rumor, members int) {
	u.sent++
	if u.sent >= spread*bits.Len(uint(members)) {
		delete(r.reports, u.report.ID.Address())
	}
}

// take returns the reports that are to be sent at once, in parts that fit into
// one update each.
func (r *rumors) take() [][]message.Member {
	if len(r.fresh) == 0 {
		return nil
	}
	reports := make([]message.Member, 0, len(r.fresh))
	for _, address := range r.fresh {
		if u := r.reports[address]; u != nil {
			reports = append(reports, u.report)
		}
	}
	r.fresh = r.fresh[:0]
	return slices.Collect(slices.Chunk(reports, maxPush))
}
