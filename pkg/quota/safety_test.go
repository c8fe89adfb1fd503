package quota_test

import (
	"flag"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/papayapath/papayapath/pkg/allocator"
	"github.com/papayapath/papayapath/pkg/quota"
	"github.com/papayapath/papayapath/pkg/term"
)

var (
	schedules = flag.Int("schedules", 10_000, "number of random schedules")
	firstSeed = flag.Uint64("first", 1, "seed of the first schedule")
)

// faults are deviations from the rules, for tests of the test.
type faults struct {
	lateStart     bool          // a term counts from the end of its append
	early         time.Duration // a claim does not wait for the end of the other term
	fromArrival   bool          // the validity of tokens counts from the arrival of the grant
	stopped       bool          // the clock stands still while the process is suspended
	oneGeneration bool          // the generation of the log is ignored
	keptBuckets   bool          // a new term takes over full buckets
	keptTokens    bool          // tokens that are returned do not expire
	alwaysFirst   bool          // each process takes its start for that of the whole system
	noPart        bool          // each part allocates the whole limit
	silent        bool          // no fault: there are no requests, but more failures
}

// limits are a customer's limit before and after it is lowered.
type limits struct {
	rate, burst   float64
	factor        float64
	lowered, sure time.Duration // when it is lowered, and when all nodes know
}

// grant is a number of tokens that were granted at a time.
type grant struct {
	at     time.Duration
	tokens int
}

// schedule is a system with a store in which things fail at random.
type schedule struct {
	*world
	store    *store
	lowered  map[*node]bool // nodes that have the lowered limit
	bounds   allocator.Bounds
	limits   limits
	faults   faults
	lost     float64       // part of the messages that are lost
	late     time.Duration // the longest delay of messages
	cut      map[[2]int]time.Duration
	length   time.Duration
	validity time.Duration               // of tokens
	hold     time.Duration               // until when tokens are held
	grants   [term.Parts][]time.Duration // of the tokens of each part
	owned    [][]grant                   // grants to each node that were not used yet
	double   int                         // times at which two nodes held a part
	stale    int                         // requests admitted without a valid token
}

const (
	// tick is the time between two looks of a process at its terms, and of a client at
	// its requests.
	tick = 150 * time.Millisecond
	// usualDelay is the longest delay of messages while nothing is wrong with them.
	usualDelay = 3 * time.Millisecond
	// maxValidity is the longest validity of tokens, with the tolerance of clocks.
	maxValidity = 501 * time.Millisecond
	// settled is the time after the last node has a lowered limit from which the limit
	// binds. The rule allows one window.
	settled = time.Second
)

// newSchedule returns a schedule of a random system. Most have a small slack, with which
// a few requests too many break the bound.
func newSchedule(seed uint64, f faults) *schedule {
	nodes := 2 + int(seed%3)
	s := &schedule{
		world: newWorld(seed, nodes, 1), bounds: bounds, faults: f, cut: map[[2]int]time.Duration{},
		lowered: map[*node]bool{},
		late:    usualDelay, length: 12 * time.Second,
	}
	r := s.random
	if r.IntN(4) > 0 {
		s.bounds.Slack = 2 + 4*r.Float64()
	}
	s.limits = limits{rate: 12 + 12*r.Float64(), burst: 10 * r.Float64() * float64(r.IntN(2)), factor: 1}
	s.store = &store{world: s.world, generation: 1, refuses: map[*node]time.Duration{}}
	s.store.keep()
	s.holder = s.holderOf
	s.grant = s.grantAt
	s.transit = s.transitTime
	s.refuse = s.refuseLater
	s.admitted = s.use
	s.owned = make([][]grant, nodes)
	impatient := r.IntN(2) == 0
	s.distort = func(age, validity, wait time.Duration) (time.Duration, time.Duration) {
		if f.fromArrival && validity > 0 {
			validity += age
		}
		if impatient {
			wait = min(wait, tick)
		}
		return validity, wait
	}
	probe := allocator.New(s.bounds)
	probe.Start(origin, 0)
	probe.SetLimit(origin, name(0), s.limits.rate, s.limits.burst)
	_, s.validity, _ = probe.Grant(origin, 0, name(0), 1)
	for _, n := range s.nodes {
		n.domain = n.id % 3
		n.drift = (r.Float64() - 0.5) * 0.001
		n.offset = time.Duration(r.Int64N(int64(time.Hour)))
		n.faults = &s.faults
		n.slow = usualDelay
		if r.IntN(4) == 0 {
			n.slow = time.Duration(r.Int64N(int64(callTimeout)))
		}
		s.start(n)
	}
	if r.IntN(4) == 0 {
		s.late = time.Duration(r.Int64N(int64(800 * time.Millisecond)))
	}
	failures := r.IntN(8)
	if f.silent {
		failures *= 3
		s.lost = 0.9 * float64(r.IntN(2))
	} else {
		s.client()
	}
	for range failures {
		s.after(time.Duration(r.Int64N(int64(s.length))), s.fail)
	}
	return s
}

// start starts the process of a node, with empty memory.
func (s *schedule) start(n *node) {
	n.incarnation++
	n.generation = s.store.generation
	n.allocator = allocator.New(s.bounds)
	n.entries[0] = entry{quota: quota.New()}
	n.known = make([]int64, len(s.nodes))
	n.periods = [term.Parts]uint64{}
	d := 2 * time.Second
	if s.limits.rate > 20 {
		d = 4 * time.Second
	}
	first := uint64(1)
	if s.faults.alwaysFirst {
		first = n.generation
	}
	for part := range n.terms {
		n.ranks[part] = s.random.IntN(3)
		n.terms[part] = term.New(part, address(n.id), n.incarnation,
			term.WithFirstGeneration(first), term.WithDuration(d))
	}
	s.setLimit(n)
	n.at(time.Duration(s.random.Int64N(int64(tick))), func() { s.tick(n) })
}

func (s *schedule) setLimit(n *node) {
	factor := 1.0
	if s.limits.lowered > 0 {
		factor = s.limits.factor
		s.lowered[n] = true
		if s.limits.sure == 0 && len(s.lowered) == len(s.nodes) {
			s.limits.sure = s.now
		}
	}
	if s.faults.noPart {
		factor *= term.Parts
	}
	n.allocator.SetLimit(n.now(), name(0), factor*s.limits.rate, factor*s.limits.burst)
}

func address(id int) string { return name(id) }

func (s *schedule) node(address string) *node { return s.nodes[address[0]-'a'] }

func (s *schedule) holderOf(n *node, part int) (*node, bool) {
	address, ok := n.terms[part].Holder()
	if !ok {
		return nil, false
	}
	return s.node(address), true
}

// tick does what a process does several times a second for each part.
func (s *schedule) tick(n *node) {
	for id := range n.known {
		if other := s.nodes[id]; s.isLinked(n, other) {
			n.known[id] = max(n.known[id], other.incarnation)
		}
	}
	for part, t := range n.terms {
		var holderIncarnation int64
		if address, ok := t.Holder(); ok {
			holderIncarnation = n.known[s.node(address).id]
		}
		a := t.Next(n.now(), n.ranks[part], holderIncarnation)
		if a.Kind != term.Wait {
			t.Begin(n.now(), a)
		}
		switch a.Kind {
		case term.Read:
			s.store.read(n, part)
		case term.Append:
			s.store.append(n, part, a)
		}
		if s.random.IntN(20) == 0 {
			n.announce(part)
		}
	}
	s.checkHolders()
	n.ask(0)
	n.at(tick, func() { s.tick(n) })
}

// announce tells the other nodes of an own term.
func (n *node) announce(part int) {
	r, end, ok := n.terms[part].Announcement()
	if !ok {
		return
	}
	for _, other := range n.world.nodes {
		if other != n {
			n.send(other, func() {
				other.terms[part].Observe(other.now().Add(-other.faults.early), r, end, other.generationOf(r))
			})
		}
	}
}

func (n *node) knownGeneration() uint64 {
	if n.faults.oneGeneration {
		return 1
	}
	return n.generation
}

func (n *node) generationOf(r term.Record) uint64 {
	if n.faults.oneGeneration {
		return 1
	}
	return r.Generation
}

// grantAt answers a request for tokens, if the node holds the part.
func (s *schedule) grantAt(n, from *node, part, _, wanted int) (granted int, validity, wait time.Duration) {
	t := n.terms[part]
	if !t.Holds(n.now()) {
		return 0, 0, 0
	}
	if p := t.Period(); p != n.periods[part] {
		n.periods[part] = p
		n.allocator.Start(n.now(), part)
		if s.faults.keptBuckets {
			n.allocator.Start(n.now().Add(-time.Minute), part)
		}
	}
	granted, validity, wait = n.allocator.Grant(n.now(), part, name(0), wanted)
	s.owned[from.id] = append(s.owned[from.id], grant{at: s.now, tokens: granted})
	for range granted {
		s.grants[part] = append(s.grants[part], s.now)
	}
	return granted, validity, wait
}

// transitTime loses and delays messages.
func (s *schedule) transitTime(from, to *node) (time.Duration, bool) {
	if !s.isLinked(from, to) || s.random.Float64() < s.lost {
		return 0, false
	}
	return time.Duration(s.random.Int64N(int64(s.late))), true
}

func (s *schedule) isLinked(a, b *node) bool {
	return a == b || s.now >= s.cut[[2]int{min(a.id, b.id), max(a.id, b.id)}]
}

// client lets the buckets fill for a while, then holds as many tokens as it gets, and
// then sends as many requests as are admitted. This is the worst case of the bound.
func (s *schedule) client() {
	pause := time.Second + time.Duration(s.random.Int64N(int64(2*time.Second)))
	s.after(pause, func() {
		s.hold = s.now + time.Duration(s.random.Float64()*float64(s.validity))
		s.send(s.hold + s.bounds.Window + tick)
	})
}

func (s *schedule) send(end time.Duration) {
	for _, n := range s.nodes {
		if s.now < n.resumes {
			continue
		}
		t, e := &s.tallies[0], &n.entries[0]
		for lost := t.lost(); len(e.waiting) < 4 && t.lost() == lost; {
			n.take(0)
		}
	}
	if s.now < end {
		s.after(tick, func() { s.send(end) })
		return
	}
	s.client()
}

// refuseLater refuses admitted requests in the time in which tokens are held, and some
// after it. Their tokens are returned just before they expire, or when the time of
// holding ends, and used for other requests.
func (s *schedule) refuseLater(n *node, expires time.Time) bool {
	holds := s.now < s.hold
	if !holds && s.random.IntN(16) > 0 {
		return false
	}
	e := &n.entries[0]
	d := expires.Sub(n.now()) - time.Microsecond
	if s.faults.keptTokens {
		d += time.Second
	}
	if holds {
		d = min(d, s.hold-s.now)
	}
	if d <= 0 {
		return false
	}
	n.at(d, func() {
		if s.faults.keptTokens {
			expires = n.now().Add(time.Microsecond)
		}
		admitted := e.quota.Refund(n.now(), expires)
		n.admit(0, admitted, expires)
		e.waiting = e.waiting[admitted:]
		if admitted == 0 {
			n.take(0)
		}
	})
	return true
}

// fail lets up to three things fail at once.
func (s *schedule) fail() {
	n := s.nodes[s.random.IntN(len(s.nodes))]
	for range 1 + s.random.IntN(3) {
		s.failAt(n)
		if s.random.IntN(2) == 0 {
			n = s.nodes[s.random.IntN(len(s.nodes))]
		}
	}
}

func (s *schedule) failAt(n *node) {
	r := s.random
	d := time.Duration(r.Int64N(int64(8 * time.Second)))
	switch r.IntN(12) {
	case 0, 1:
		n.resumes = s.now + d
		if s.faults.stopped {
			n.offset -= d
		}
	case 2:
		s.crash(n, d)
	case 3:
		for _, n := range s.nodes {
			s.crash(n, d/10)
		}
	case 4, 5:
		for _, other := range s.nodes {
			if other != n && (r.IntN(3) > 0) {
				s.cut[[2]int{min(n.id, other.id), max(n.id, other.id)}] = s.now + d
			}
		}
	case 6:
		lost, late := s.lost, s.late
		s.lost, s.late = r.Float64()/2, time.Duration(r.Int64N(int64(time.Second)))+usualDelay
		s.after(d, func() { s.lost, s.late = lost, late })
	case 7:
		s.store.down = s.now + d
	case 8:
		s.store.refuses[n] = s.now + d
	case 9:
		if r.IntN(2) == 0 {
			s.release(n)
		}
		s.store.down = s.now + d/4
		s.after(d/4, func() { s.store.restore(1 + r.IntN(8)) })
	case 10:
		s.store.late, s.store.lost = r.Float64(), r.Float64()/2
		s.after(d, func() { s.store.late, s.store.lost = 0, 0 })
	case 11:
		if r.IntN(2) == 0 {
			s.lower()
		} else {
			s.release(n)
		}
	}
}

// heal ends all failures but those of processes.
func (s *schedule) heal() {
	s.lost, s.late = 0, usualDelay
	clear(s.cut)
	clear(s.store.refuses)
	s.store.down, s.store.late, s.store.lost = 0, 0, 0
	for _, n := range s.nodes {
		n.slow = usualDelay
	}
}

func (s *schedule) crash(n *node, d time.Duration) {
	n.incarnation++
	n.resumes = 0
	n.allocator = allocator.New(s.bounds)
	n.entries[0] = entry{quota: quota.New()}
	for part := range n.terms {
		n.terms[part] = term.New(part, address(n.id), n.incarnation)
	}
	s.after(d, func() { s.start(n) })
}

// lower lowers the limit. The nodes learn of it at different times.
func (s *schedule) lower() {
	if s.limits.lowered > 0 {
		return
	}
	s.limits.lowered, s.limits.factor = s.now, 0.2+0.6*s.random.Float64()
	for _, n := range s.nodes {
		d := time.Duration(s.random.Int64N(int64(2500 * time.Millisecond)))
		n.at(d, func() { s.setLimit(n) })
	}
}

// release plays a planned stop of the allocator: it stays an entry node.
func (s *schedule) release(n *node) {
	n.at(0, func() {
		for part, t := range n.terms {
			if a, ok := t.Release(); ok {
				t.Begin(n.now(), a)
				s.store.append(n, part, a)
			}
		}
	})
}

// checkHolders counts the times at which two processes hold a part.
func (s *schedule) checkHolders() {
	for part := range term.Parts {
		holders := 0
		for _, n := range s.nodes {
			if n.terms[part].Holds(n.now()) {
				holders++
			}
		}
		if holders > 1 {
			s.double++
		}
	}
}

// use checks that a request is admitted with a token that was granted to its node at most
// the validity before.
func (s *schedule) use(n *node) {
	owned := s.owned[n.id]
	for len(owned) > 0 && (owned[0].tokens == 0 || s.now-owned[0].at > maxValidity) {
		owned = owned[1:]
	}
	s.owned[n.id] = owned
	if len(owned) == 0 {
		s.stale++
		return
	}
	owned[0].tokens--
}

// bound returns how many requests may run in a window, with a part of the limit.
func (s *schedule) bound(factor float64) float64 {
	r, b := factor*s.limits.rate, factor*s.limits.burst
	return (r*s.bounds.Window.Seconds()+b)*(1+s.bounds.Overrun) + s.bounds.Slack
}

// excess returns by how many requests the fullest window exceeds the bound.
func (s *schedule) excess() float64 {
	t, window := s.tallies[0].admitted, s.bounds.Window
	excess := float64(most(t, window)) - s.bound(1)
	if sure := s.limits.sure; sure > 0 {
		excess = max(excess, float64(most(since(t, sure+settled), window))-s.bound(s.limits.factor))
	}
	return excess
}

// surplus returns by how many tokens a part exceeds its share of the bound: a quarter of it
// in a window and the validity of tokens before it, and in a shorter time what a bucket of
// that rate allows, which holds one token at least.
func (s *schedule) surplus(part int) float64 {
	whole := s.bounds.Window + s.validity
	allowed := func(factor float64, length time.Duration) float64 {
		share := s.bound(factor) / term.Parts
		depth := max(1, share-factor*s.limits.rate/term.Parts*whole.Seconds())
		return depth + (share-depth)*length.Seconds()/whole.Seconds()
	}
	surplus := -1.0
	for _, length := range []time.Duration{time.Second, whole} {
		surplus = max(surplus, float64(most(s.grants[part], length))-allowed(1, length))
		if sure := s.limits.sure; sure > 0 {
			later := since(s.grants[part], sure)
			surplus = max(surplus, float64(most(later, length))-allowed(s.limits.factor, length))
		}
	}
	return surplus
}

// since returns the times after another one.
func since(times []time.Duration, from time.Duration) []time.Duration {
	for i, at := range times {
		if at > from {
			return times[i:]
		}
	}
	return nil
}

// play plays a schedule to its end.
func play(seed uint64, f faults) *schedule {
	s := newSchedule(seed, f)
	s.run(s.length)
	return s
}

// violations counts what a schedule shows.
type violations struct {
	requests, tokens int // schedules with too many
	stale            int // schedules with requests admitted without a valid token
	double           int // schedules with two holders of a part
}

// playAll plays schedules until one violates a rule.
func playAll(n int, f faults) (v violations, seed uint64, admitted int) {
	for i := range n {
		seed = *firstSeed + uint64(i)
		s := play(seed, f)
		admitted += len(s.tallies[0].admitted)
		tokens := -1.0
		for part := range s.grants {
			tokens = max(tokens, s.surplus(part))
		}
		for _, c := range []struct {
			count *int
			found bool
		}{{&v.requests, s.excess() > 0}, {&v.tokens, tokens > 0}, {&v.stale, s.stale > 0}, {&v.double, s.double > 0}} {
			if c.found {
				*c.count++
			}
		}
		if v != (violations{}) {
			break
		}
	}
	return v, seed, admitted
}

// scaled returns the number of schedules, a twentieth of it in a short test.
func scaled() int {
	if testing.Short() {
		return *schedules / 20
	}
	return *schedules
}

// Guards against a customer that is admitted beyond the bound in any schedule of losses,
// delays, disconnections, pauses, crashes, late appends, outages and restored stores,
// and against requests that are admitted with expired tokens.
func TestBoundHoldsInAllSchedules(t *testing.T) {
	v, seed, admitted := playAll(scaled(), faults{})
	require.Zero(t, v, "seed %d", seed)
	t.Logf("%d schedules, %d requests admitted", scaled(), admitted)
}

// Guards against two allocators of a part. Without requests more failures can be played.
func TestOneHolderInAllSchedules(t *testing.T) {
	v, seed, _ := playAll(scaled(), faults{silent: true})
	require.Zero(t, v, "seed %d", seed)
}

// Guards against a part that nobody allocates any more, or that moves without need, once
// nothing fails: a node that waits for a record that was lost, or for an answer for ever.
func TestPartsAreHeldAgain(t *testing.T) {
	for i := range scaled() / 20 {
		seed := *firstSeed + uint64(i)
		s := play(seed, faults{silent: true})
		s.heal()
		// The last processes are started or resumed 8 s later. Then a node waits for a
		// call, a term, and its rank at most.
		s.run(s.now + 20*time.Second)
		var periods [term.Parts]uint64
		for range 2 {
			for part := range term.Parts {
				var sum uint64
				holders := 0
				for _, n := range s.nodes {
					sum += n.terms[part].Period()
					if n.terms[part].Holds(n.now()) {
						holders++
					}
				}
				require.Equal(t, 1, holders, "seed %d, part %d", seed, part)
				if periods[part] != 0 {
					require.Equal(t, periods[part], sum, "seed %d, part %d", seed, part)
				}
				periods[part] = sum
			}
			s.run(s.now + 10*time.Second)
		}
	}
}

// Guards against checks that cannot fail, by faults that they have to find.
func TestFaultsAreFound(t *testing.T) {
	for name, f := range map[string]faults{
		"term from the end of the append":  {lateStart: true, silent: true},
		"claim without wait":               {early: time.Minute, silent: true},
		"clock that stops in a suspension": {stopped: true, silent: true},
		"generation ignored":               {oneGeneration: true, silent: true},
		"first start at each start":        {alwaysFirst: true, silent: true},
		"validity from the arrival":        {fromArrival: true},
		"returned tokens do not expire":    {keptTokens: true},
		"full buckets at a new term":       {keptBuckets: true},
		"whole limit in each part":         {noPart: true},
	} {
		t.Run(name, func(t *testing.T) {
			v, seed, _ := playAll(10_000, f)
			require.NotZero(t, v)
			t.Logf("seed %d: %+v", seed, v)
		})
	}
}
