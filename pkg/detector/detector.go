package detector

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/papayapath/papayapath/pkg/instance"
	"github.com/papayapath/papayapath/pkg/message"
)

// Defaults of the options.
const (
	defaultInterval = 200 * time.Millisecond
	defaultTimeout  = 80 * time.Millisecond
	defaultRelays   = 3
	defaultPartners = 32
)

const (
	// pauseFactor is the number of intervals without a Tick after which the
	// node takes itself to have been paused.
	pauseFactor = 2
	// mostStrain bounds the strain, as in the publication on Lifeguard: times
	// grow to nine times their settings.
	mostStrain = 8
	// calm is the number of answered probes in a row that take one from the
	// strain. With one of them, every second probe of a slow target fails.
	calm = 8
)

// Kind says what an Action asks for.
type Kind uint8

// Kinds of actions, with the fields of Action that each one uses.
const (
	// Probe sends a probe to To, with Seq.
	Probe Kind = iota + 1
	// Ack answers a probe of To with Seq, in the name of Target.
	Ack
	// Request asks To to probe Target, with Seq.
	Request
	// Fail reports that Target answered neither directly nor through others.
	Fail
)

// Action is a message to send, or the failure of a target.
type Action struct {
	Kind   Kind
	To     instance.ID
	Target instance.ID
	Seq    uint64
}

// Detector probes a set of targets. It must not be used by two goroutines at
// the same time.
//
// If probes of many targets fail, it is more likely the own node, its machine or
// its network that is slow. Each failed probe adds to the strain and several
// answered ones take from it; the strain stretches all times, so that nodes on
// a busy machine do not take each other for dead.
type Detector struct {
	self     instance.ID
	random   *rand.Rand
	interval time.Duration
	timeout  time.Duration
	relays   int

	ring     ring // all targets
	partners ring // those that this node probes itself
	width    int  // number of partners
	seed     uint64
	ranks    []ranked
	changed  bool // targets have changed since partners were chosen

	strain  int // from 0 to mostStrain
	calm    int // answered probes in a row
	seq     uint64
	probes  []probe // in the order in which they were sent
	relayed map[uint64]relay
	due     time.Time
	last    time.Time
}

// probe is an own probe that has not been answered.
type probe struct {
	seq       uint64
	target    instance.ID
	timeout   time.Time // when others are asked
	deadline  time.Time // when the target has failed
	requested bool
}

// relay is a probe on behalf of another node.
type relay struct {
	origin   instance.ID
	seq      uint64
	target   instance.ID
	deadline time.Time
}

// Option sets a property of a Detector.
type Option func(*Detector)

// WithInterval sets the time between two probes, which is also the time that
// a target has to answer one (default 200 ms).
func WithInterval(d time.Duration) Option { return func(t *Detector) { t.interval = d } }

// WithTimeout sets the time after which others are asked to probe a silent
// target (default 80 ms). It must exceed the slowest round trip.
func WithTimeout(d time.Duration) Option { return func(t *Detector) { t.timeout = d } }

// WithRelays sets how many others are asked (default 3).
func WithRelays(n int) Option { return func(t *Detector) { t.relays = n } }

// WithPartners sets how many targets the node probes itself (default 32). The
// others are probed by other nodes.
func WithPartners(n int) Option { return func(t *Detector) { t.width = max(n, 1) } }

// New returns a Detector of the node self without targets.
func New(self instance.ID, random *rand.Rand, options ...Option) *Detector {
	d := &Detector{
		self: self, random: random,
		interval: defaultInterval, timeout: defaultTimeout, relays: defaultRelays,
		ring:     ring{places: make(map[instance.ID]int)},
		partners: ring{places: make(map[instance.ID]int)},
		width:    defaultPartners, seed: hashOf(self),
		relayed: make(map[uint64]relay),
	}
	for _, o := range options {
		o(d)
	}
	return d
}

// Add makes id a target, at a random place in the order of probes.
func (d *Detector) Add(id instance.ID) {
	d.ring.add(id, d.random)
	d.changed = true
}

// Remove ends the probing of id.
func (d *Detector) Remove(id instance.ID) {
	d.ring.remove(id)
	d.partners.remove(id)
	d.changed = true
}

// Partners returns the targets that the node probes itself, in no order. The
// caller must not change the slice or keep it.
func (d *Detector) Partners() []instance.ID {
	d.refresh()
	return d.partners.ids
}

// Targets returns the targets in no order. The caller must not change the
// slice or keep it.
func (d *Detector) Targets() []instance.ID { return d.ring.ids }

// Interval returns the time between two probes.
func (d *Detector) Interval() time.Duration { return d.interval }

// Stretch returns the time that stands for t under the present strain.
func (d *Detector) Stretch(t time.Duration) time.Duration {
	return t * time.Duration(1+d.strain)
}

// Next returns the time at which Tick has something to do.
func (d *Detector) Next() time.Time {
	next := d.due
	for _, p := range d.probes {
		at := p.deadline
		if !p.requested {
			at = p.timeout
		}
		if at.Before(next) {
			next = at
		}
	}
	return next
}

// Tick appends the actions that are due at now to out. It also returns for how
// long the node was paused; a probe that was open during a pause proves
// nothing and is given up.
func (d *Detector) Tick(now time.Time, out []Action) ([]Action, time.Duration) {
	paused := d.pause(now)
	out = d.escalate(now, out)
	d.expire(now)
	if now.Before(d.due) {
		return out, paused
	}
	d.due = now.Add(d.Stretch(d.interval))
	d.refresh()
	if target, ok := d.partners.next(d.random); ok {
		out = d.probe(now, target, out)
	}
	return out, paused
}

// Receive handles probes, probe requests and their answers. Other messages are
// ignored.
func (d *Detector) Receive(now time.Time, from instance.ID, m message.Control, out []Action) []Action {
	switch {
	case m.Probe != nil:
		return append(out, Action{Kind: Ack, To: from, Target: d.self, Seq: m.Probe.Seq})
	case m.Ack != nil:
		return d.answer(from, m.Ack, out)
	case m.ProbeRequest != nil:
		return d.relay(now, from, m.ProbeRequest, out)
	}
	return out
}

// pause returns the time that the node was paused before now, and gives up
// open probes if it was.
func (d *Detector) pause(now time.Time) time.Duration {
	gap := now.Sub(d.last)
	first := d.last.IsZero()
	d.last = now
	if first || gap <= pauseFactor*d.interval {
		return 0
	}
	d.probes = d.probes[:0]
	clear(d.relayed)
	return gap
}

func (d *Detector) probe(now time.Time, target instance.ID, out []Action) []Action {
	d.seq++
	p := probe{seq: d.seq, target: target, timeout: now.Add(d.Stretch(d.timeout)), deadline: now.Add(d.Stretch(d.interval))}
	d.probes = append(d.probes, p)
	return append(out, Action{Kind: Probe, To: target, Target: target, Seq: d.seq})
}

// escalate asks others about silent targets and reports those that failed.
func (d *Detector) escalate(now time.Time, out []Action) []Action {
	open := d.probes[:0]
	for _, p := range d.probes {
		if !now.Before(p.deadline) {
			d.strain, d.calm = min(d.strain+1, mostStrain), 0
			out = d.fail(p.target, out)
			continue
		}
		if !p.requested && !now.Before(p.timeout) {
			p.requested = true
			out = d.request(p.seq, p.target, out)
		}
		open = append(open, p)
	}
	d.probes = open
	return out
}

func (d *Detector) fail(target instance.ID, out []Action) []Action {
	if !d.ring.has(target) {
		return out
	}
	return append(out, Action{Kind: Fail, Target: target})
}

func (d *Detector) request(seq uint64, target instance.ID, out []Action) []Action {
	for _, via := range d.ring.sample(d.relays, target, d.random) {
		out = append(out, Action{Kind: Request, To: via, Target: target, Seq: seq})
	}
	return out
}

func (d *Detector) expire(now time.Time) {
	for seq, r := range d.relayed {
		if !now.Before(r.deadline) {
			delete(d.relayed, seq)
		}
	}
}

func (d *Detector) answer(from instance.ID, a *message.Ack, out []Action) []Action {
	answered := func(p probe) bool { return p.seq == a.Seq && p.target == a.Target }
	if i := slices.IndexFunc(d.probes, answered); i >= 0 {
		d.probes = slices.Delete(d.probes, i, i+1)
		d.relax()
		return out
	}
	r, ok := d.relayed[a.Seq]
	if !ok || r.target != from || r.target != a.Target {
		return out
	}
	delete(d.relayed, a.Seq)
	return append(out, Action{Kind: Ack, To: r.origin, Target: r.target, Seq: r.seq})
}

// relax takes from the strain after enough answers in a row.
func (d *Detector) relax() {
	if d.calm++; d.calm >= calm {
		d.strain, d.calm = max(d.strain-1, 0), 0
	}
}

func (d *Detector) relay(now time.Time, from instance.ID, r *message.ProbeRequest, out []Action) []Action {
	if r.Target == d.self {
		return append(out, Action{Kind: Ack, To: from, Target: d.self, Seq: r.Seq})
	}
	d.seq++
	d.relayed[d.seq] = relay{origin: from, seq: r.Seq, target: r.Target, deadline: now.Add(d.Stretch(d.interval))}
	return append(out, Action{Kind: Probe, To: r.Target, Target: r.Target, Seq: d.seq})
}
