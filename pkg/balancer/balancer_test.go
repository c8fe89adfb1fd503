package balancer_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/papayapath/papayapath/pkg/balancer"
	"github.com/papayapath/papayapath/pkg/importance"
	"github.com/papayapath/papayapath/pkg/instance"
	"github.com/papayapath/papayapath/pkg/message"
	"github.com/papayapath/papayapath/pkg/outcome"
	"github.com/papayapath/papayapath/pkg/priority"
)

var (
	start  = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	normal = priority.Lowest(importance.Normal)
)

func id(i int) instance.ID {
	address := netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)})
	return instance.New(netip.AddrPortFrom(address, 7000), 1)
}

func service(n int, options ...balancer.Option) *balancer.Balancer {
	b := balancer.New(options...)
	for i := range n {
		b.Join(id(i), fmt.Sprintf("domain%d", i%3))
	}
	return b
}

func complete(threshold priority.Priority) *message.Answer {
	return &message.Answer{Outcome: outcome.Complete, Status: 200, Threshold: threshold, Limit: 1000}
}

func refusal(threshold priority.Priority) *message.Answer {
	return &message.Answer{Outcome: outcome.NotRun, Reason: outcome.Overload, Threshold: threshold, Limit: 1000}
}

// ending reports the end of a simulated call to the balancer.
type ending func(now time.Time, s *balancer.Server, elapsed time.Duration)

// pending is a call in flight of the simulation.
type pending struct {
	server *balancer.Server
	sent   time.Time
	due    time.Time
	end    ending
}

// simulation drives a balancer in steps of 1 ms with one call every 5 ms.
type simulation struct {
	b     *balancer.Balancer
	now   time.Time
	open  []pending
	picks map[instance.ID]int
	// serve gives the answer time of a server, and how the call ends.
	serve func(s *balancer.Server) (time.Duration, ending)
}

func (s *simulation) answered(a *message.Answer) ending {
	return func(now time.Time, server *balancer.Server, elapsed time.Duration) {
		s.b.Answered(now, server, normal, elapsed, a)
	}
}

func (s *simulation) run(d time.Duration) {
	s.picks = map[instance.ID]int{}
	for i := range int(d / time.Millisecond) {
		s.now = s.now.Add(time.Millisecond)
		s.finish()
		if i%5 != 0 {
			continue
		}
		server, verdict := s.b.Choose(s.now, normal, nil)
		if verdict != balancer.Chosen {
			continue
		}
		s.b.Start(s.now, server, normal)
		s.picks[server.ID()]++
		takes, end := s.serve(server)
		s.open = append(s.open, pending{server, s.now, s.now.Add(takes), end})
	}
}

func (s *simulation) finish() {
	kept := s.open[:0]
	for _, p := range s.open {
		if p.due.After(s.now) {
			kept = append(kept, p)
			continue
		}
		p.end(s.now, p.server, s.now.Sub(p.sent))
	}
	s.open = kept
}

// Guards against a server that slows or fails and goes on taking its share of
// calls, and against one that is never used again after it has recovered.
func TestFaultyServerIsAvoidedWithinOneSecond(t *testing.T) {
	const usual = 10 * time.Millisecond
	s := &simulation{}
	lost := func(sent bool) ending {
		return func(now time.Time, x *balancer.Server, _ time.Duration) { s.b.Failed(now, x, sent) }
	}
	given := func(now time.Time, x *balancer.Server, d time.Duration) { s.b.Abandoned(now, x, d) }
	faults := map[string]struct {
		takes time.Duration
		end   ending
	}{
		"4 times slower":      {4 * usual, s.answered(complete(0))},
		"40 times slower":     {40 * usual, s.answered(complete(0))},
		"hung":                {time.Second, given},
		"broken streams":      {usual, lost(true)},
		"no connection":       {0, lost(false)},
		"quick error answers": {usual / 10, s.answered(&message.Answer{Outcome: outcome.Complete, Status: 500, Limit: 1000})},
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			faulty := false
			*s = simulation{b: service(3), now: start}
			s.serve = func(x *balancer.Server) (time.Duration, ending) {
				if faulty && x.ID() == id(0) {
					return fault.takes, fault.end
				}
				return usual, s.answered(complete(0))
			}
			s.run(2 * time.Second)
			require.Greater(t, s.picks[id(0)], 60, "a sound server gets its share of 400 calls")
			faulty = true
			s.run(time.Second)
			s.run(2 * time.Second)
			t.Logf("faulty: %d of 400 calls", s.picks[id(0)])
			require.Less(t, s.picks[id(0)], 40, "a tenth of 400 calls")
			require.Positive(t, s.picks[id(0)], "the faulty server is tried again")
			faulty = false
			s.run(time.Second)
			s.run(time.Second)
			t.Logf("recovered: %d of 200 calls", s.picks[id(0)])
			require.Greater(t, s.picks[id(0)], 30, "a recovered server is used again after 1 s")
		})
	}
}

// Guards against new calls to a server that is leaving, tells that it drains,
// is suspected or was tried already.
func TestServersThatTakeNoCalls(t *testing.T) {
	for _, n := range []int{4, 40} {
		b := service(n)
		b.Drain(id(0))
		draining, _ := b.Server(id(3))
		b.Start(start, draining, normal)
		b.Answered(start, draining, normal, 0, &message.Answer{Outcome: outcome.NotRun, Reason: outcome.Draining})
		b.Suspect(id(1))
		tried, _ := b.Server(id(2))
		for range 1000 {
			s, verdict := b.Choose(start, normal, []*balancer.Server{tried})
			if n == 4 {
				require.Equal(t, balancer.Absent, verdict)
				continue
			}
			require.NotContains(t, []instance.ID{id(0), id(1), id(2), id(3)}, s.ID())
		}
		b.Restore(id(1))
		s, verdict := b.Admit(start, id(1), normal)
		require.Equal(t, balancer.Chosen, verdict)
		require.Equal(t, id(1), s.ID())
		_, verdict = b.Admit(start, id(0), normal)
		require.Equal(t, balancer.Leaving, verdict)
		b.Leave(id(2))
		_, verdict = b.Admit(start, id(2), normal)
		require.Equal(t, balancer.Absent, verdict)
		require.Equal(t, n-1, b.Len())
	}
}

// Guards against calls across failure domains while the own one is as good.
func TestOwnDomainIsPreferred(t *testing.T) {
	b := service(2, balancer.WithDomain("domain1"))
	for range 100 {
		s, _ := b.Choose(start, normal, nil)
		require.Equal(t, "domain1", s.Domain())
	}
	s, _ := b.Server(id(1))
	b.Start(start, s, normal)
	s, _ = b.Choose(start, normal, nil)
	require.Equal(t, "domain0", s.Domain(), "twice the score is not equal")
}

// Guards against a quick server that is given more calls than it runs at once.
func TestServerAtItsLimitIsPassedOver(t *testing.T) {
	b := service(2)
	s, _ := b.Server(id(0))
	b.Start(start, s, normal)
	b.Answered(start, s, normal, time.Microsecond, &message.Answer{Outcome: outcome.Complete, Status: 200, Limit: 1})
	b.Start(start, s, normal)
	for range 100 {
		got, _ := b.Choose(start, normal, nil)
		require.Equal(t, id(1), got.ID())
	}
}

// Guards against a server that stops with many calls in flight and looks idle
// next to one that works through twice as many.
func TestSilentServerCountsAsSlow(t *testing.T) {
	b := service(2)
	silent, _ := b.Server(id(0))
	busy, _ := b.Server(id(1))
	for range 10 {
		b.Start(start, silent, normal)
		b.Start(start, busy, normal)
		b.Start(start, busy, normal)
	}
	now := start.Add(10 * time.Millisecond)
	for _, s := range []*balancer.Server{silent, busy} {
		b.Answered(now, s, normal, 10*time.Millisecond, complete(0))
	}
	got, _ := b.Choose(now, normal, nil)
	require.Equal(t, silent, got)
	now = start.Add(100 * time.Millisecond)
	b.Answered(now, busy, normal, 10*time.Millisecond, complete(0))
	got, _ = b.Choose(now, normal, nil)
	require.Equal(t, busy, got)
}
