package guard_test

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/google/uuid"

	"github.com/papayapath/papayapath/pkg/guard"
	"github.com/papayapath/papayapath/pkg/instance"
	"github.com/papayapath/papayapath/pkg/lease"
	"github.com/papayapath/papayapath/pkg/ledger"
	"github.com/papayapath/papayapath/pkg/message"
	"github.com/papayapath/papayapath/pkg/outcome"
	"github.com/papayapath/papayapath/pkg/ownership"
)

const (
	service   = "reservations"
	step      = 10 * time.Millisecond
	retention = 20 * time.Second
)

var origin = time.UnixMilli(1_800_000_000_000)

// world drives guards over a fake log, network and backend servers in virtual
// time, and checks every run and every answer "not run".
type world struct {
	now    time.Time
	random *rand.Rand
	log    platformLog
	nodes  []*node // one per address; a restart replaces it
	old    []*node // nodes whose address another machine took
	events []event
	keys   []string
	handed map[string]int // runs that passed a guard and were not handed back
	runs   map[string]int // runs that reached a backend server
	total  int
	faults []string // violations found

	slow      time.Duration // longest extra delay of a message
	lossy     bool          // answers of appends get lost, and appends land late
	lateStart bool          // planted fault: a read counts from its arrival
	sendAge   bool          // planted fault: a key's age counts from the sending of the offer
	sentAt    map[string]time.Time
}

type event struct {
	at time.Time
	on *node // nil: no node has to be up for it
	do func()
}

type platformLog struct {
	generation, first uint64
	records           []message.OwnerRecord
	landed            []time.Time
	down              bool
}

type node struct {
	w        *world
	id       instance.ID
	guard    *guard.Guard
	offset   time.Duration
	rate     float64 // of the clock, against true time
	up       bool
	paused   time.Time
	cut      bool          // can't reach the log
	isolated bool          // can't reach peers
	blind    bool          // takes the other nodes for dead
	hold     time.Duration // between the verdict and the write
	lag      time.Duration // of the log's answers
	ticked   time.Time
	readAt   time.Time // own clock, start of the last read
	readEnd  uint64
	readGen  uint64
}

func newWorld(seed uint64, size int) *world {
	w := &world{
		now: origin, random: rand.New(rand.NewPCG(seed, 1)), log: platformLog{generation: 1},
		handed: map[string]int{}, runs: map[string]int{}, sentAt: map[string]time.Time{},
	}
	for i := range size {
		w.nodes = append(w.nodes, w.start(i, 1))
	}
	return w
}

func (w *world) start(i int, incarnation uint64) *node {
	address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 7000)
	n := &node{w: w, id: instance.New(address, incarnation), rate: 1, up: true}
	options := []guard.Option{guard.WithRetention(retention)}
	if w.sendAge {
		options = append(options, guard.WithIssueTime(func(key string) (time.Time, bool) {
			issued, ok := message.IssueTime(key)
			return n.clock().Add(-max(w.sentAt[key].Sub(issued), 0)), ok
		}))
	}
	n.guard = guard.New(n.id, service, options...)
	return n
}

func (w *world) restart(i int) {
	w.nodes[i].up = false
	w.nodes[i] = w.start(i, w.nodes[i].id.Incarnation()+1)
}

func (n *node) clock() time.Time {
	return origin.Add(n.offset + time.Duration(float64(n.w.now.Sub(origin))*n.rate))
}

func (w *world) delay() time.Duration {
	d := time.Duration(1+w.random.IntN(10)) * time.Millisecond
	if w.slow > 0 && w.random.IntN(4) == 0 {
		d += time.Duration(w.random.Int64N(int64(w.slow)))
	}
	return d
}

func (w *world) after(d time.Duration, on *node, do func()) {
	w.events = append(w.events, event{at: w.now.Add(d), on: on, do: do})
}

// run lets virtual time pass.
func (w *world) run(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.now = w.now.Add(step)
		w.trim()
		w.deliver()
		for _, n := range slices.Concat(w.nodes, w.old) {
			n.tick()
		}
	}
}

func (w *world) deliver() {
	due := w.events
	w.events = nil
	for _, e := range due {
		switch {
		case e.on != nil && !e.on.up:
		case e.at.After(w.now) || e.on != nil && w.now.Before(e.on.paused):
			w.events = append(w.events, e)
		default:
			e.do()
		}
	}
}

func (n *node) tick() {
	w := n.w
	if !n.up || w.now.Before(n.paused) || w.now.Before(n.ticked.Add(guard.TickInterval)) {
		return
	}
	n.ticked = w.now
	n.guard.Members(n.clock(), w.view(n))
	for _, e := range n.guard.Tick(n.clock()) {
		n.perform(e)
	}
}

func (w *world) view(n *node) []instance.ID {
	ids := []instance.ID{n.id}
	for _, o := range w.nodes {
		if o.up && o != n && !n.blind && !n.isolated && !o.isolated {
			ids = append(ids, o.id)
		}
	}
	return ids
}

func (n *node) perform(e guard.Effect) {
	switch e.Kind {
	case guard.ReadLog:
		n.read(e.From)
	case guard.AppendRecord:
		n.w.append(n, e.Record)
	case guard.AskPromise:
		n.ask(e.To, e.Request)
	case guard.AskTable:
		for _, o := range n.w.nodes {
			if s, ok := o.guard.Snapshot(); ok && o.up && !o.isolated && !n.isolated {
				n.w.after(n.w.delay(), n, func() { n.guard.Restore(n.clock(), s) })
			}
		}
	}
}

// read reads from the log, or from a peer if the node is cut from the log.
func (n *node) read(from uint64) {
	w, started := n.w, n.clock()
	w.after(w.delay(), nil, func() {
		if n.cut || w.log.down {
			n.relay(from, started)
			return
		}
		n.arrive(w.log.batch(from, w.log.end()), started)
	})
}

func (n *node) arrive(b ownership.Batch, started time.Time) {
	n.w.after(n.w.delay()+n.lag, n, func() {
		if n.w.lateStart {
			started = n.clock()
		}
		n.readAt, n.readEnd, n.readGen = started, b.End, b.Generation
		n.guard.Read(n.clock(), started, b)
	})
}

func (n *node) relay(from uint64, asked time.Time) {
	w := n.w
	for _, o := range w.nodes {
		if o == n || !o.up || w.now.Before(o.paused) || o.isolated || n.isolated || o.readGen != w.log.generation || o.readEnd > w.log.end() {
			continue
		}
		start := lease.RelayStart(asked, o.clock().Sub(o.readAt))
		n.arrive(w.log.batch(from, o.readEnd), start)
		return
	}
	w.after(w.delay(), n, func() { n.guard.ReadFailed(n.clock()) })
}

func (l *platformLog) end() uint64 { return uint64(len(l.records)) }

func (l *platformLog) batch(from, end uint64) ownership.Batch {
	b := ownership.Batch{Generation: l.generation, First: l.first, End: end}
	b.From = min(max(from, l.first), end)
	b.Next = end
	for i := b.From; i < end; i++ {
		b.Entries = append(b.Entries, ownership.Entry{Offset: i, Record: l.records[i]})
	}
	return b
}

func (w *world) land(r message.OwnerRecord) {
	w.log.records = append(w.log.records, r)
	w.log.landed = append(w.log.landed, w.now)
}

func (w *world) trim() {
	l := &w.log
	for l.first < l.end() && w.now.Sub(l.landed[l.first]) > retention {
		l.first++
	}
}

func (w *world) append(n *node, r message.OwnerRecord) {
	done := func(after time.Duration, result guard.Result) {
		w.after(after, n, func() { n.guard.AppendDone(n.clock(), r.ID, result) })
	}
	if w.lossy && w.random.IntN(2) == 0 {
		w.after(time.Duration(w.random.Int64N(int64(6*time.Second))), nil, func() { w.land(r) })
		done(300*time.Millisecond, guard.InDoubt)
		return
	}
	w.after(w.delay(), nil, func() {
		if n.cut || w.log.down {
			done(w.delay(), guard.InDoubt)
			return
		}
		w.land(r)
		done(w.delay(), guard.Appended)
	})
}

func (n *node) ask(to instance.ID, r message.PromiseRequest) {
	w := n.w
	for _, o := range w.nodes {
		if o.id.Address() != to.Address() || o.isolated || n.isolated {
			continue
		}
		w.after(w.delay(), o, func() {
			p := o.guard.PromiseRequest(o.clock(), r)
			w.after(w.delay(), n, func() {
				if !n.isolated {
					n.guard.Promise(n.clock(), p)
				}
			})
		})
	}
}

// newKey returns a key that is issued now by an exact clock.
func (w *world) newKey() string {
	var id uuid.UUID
	binary.BigEndian.PutUint64(id[:8], uint64(w.now.UnixMilli())<<16)
	binary.BigEndian.PutUint64(id[8:], uint64(len(w.keys)))
	id[6] = 0x70
	id[8] |= 0x80
	w.keys = append(w.keys, id.String())
	return id.String()
}

func (n *node) offer(key string) guard.Verdict {
	_, epoch, _ := n.guard.Owner(key)
	return n.offerOf(message.Offer{
		Service: service, Customer: "quimper", Key: key, Content: 1,
		Remaining: time.Second, Epoch: epoch,
	})
}

// offerOf offers a call to the guard, checks the verdict and hands the call to
// the backend server after n.hold.
func (n *node) offerOf(o message.Offer) guard.Verdict {
	v := n.guard.Offer(n.clock(), &o)
	switch {
	case v.Decision == guard.Run:
		n.w.begin(n, o.Key, v)
	case v.Decision == guard.Refuse && v.Outcome == outcome.NotRun &&
		v.Reason != outcome.Epoch && v.Reason != outcome.Conflict && n.w.handed[o.Key] > 0:
		n.w.fail("key %s: false not run (%s) from %s", o.Key, v.Reason, n.id)
	}
	return v
}

func (w *world) begin(n *node, key string, v guard.Verdict) {
	w.handed[key]++
	if w.handed[key] > 1 {
		w.fail("key %s: second run at %s, epoch %d", key, n.id, v.Epoch)
	}
	w.after(n.hold+w.delay(), n, func() { n.write(key, v) })
}

// write is the backend server's part: it refuses late writes by the clock that
// it shares with its node.
func (n *node) write(key string, v guard.Verdict) {
	w := n.w
	if n.clock().After(v.Latest) {
		n.guard.Unknown(n.clock(), v.Ticket)
		return
	}
	if w.random.IntN(10) == 0 {
		w.handed[key]--
		n.guard.NotRun(n.clock(), v.Ticket)
		return
	}
	w.total++
	w.runs[key]++
	w.after(w.delay(), n, func() { n.finish(v.Ticket) })
}

func (n *node) finish(t ledger.Ticket) {
	answer := &message.Answer{Outcome: outcome.Complete, Status: 200}
	n.guard.Done(n.clock(), t, answer, []byte(t.Key))
}

func (w *world) fail(format string, args ...any) {
	w.faults = append(w.faults, w.now.Sub(origin).String()+": "+fmt.Sprintf(format, args...))
}

// load offers a new key and resends older ones, each to the owner that some
// node knows or to any node, with delays as the network has them.
func (w *world) load() {
	w.send(w.newKey())
	for range 4 {
		w.send(w.keys[max(0, len(w.keys)-1-w.random.IntN(200))])
	}
}

func (w *world) send(key string) {
	w.sentAt[key] = w.now
	all := slices.Concat(w.nodes, w.old)
	entry, to := all[w.random.IntN(len(all))], all[w.random.IntN(len(all))]
	owner, epoch, ok := entry.guard.Owner(key)
	for _, n := range all {
		if ok && n.id == owner && w.random.IntN(4) > 0 {
			to = n
		}
	}
	w.after(w.delay(), to, func() {
		to.offerOf(message.Offer{
			Service: service, Customer: "quimper", Key: key, Content: 1,
			Remaining: time.Second, Epoch: epoch,
		})
	})
}
