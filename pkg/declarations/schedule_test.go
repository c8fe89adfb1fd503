package declarations_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/papayapath/papayapath/pkg/contract"
	"github.com/papayapath/papayapath/pkg/declarations"
	"github.com/papayapath/papayapath/pkg/instance"
	"github.com/papayapath/papayapath/pkg/stream"
)

var names = []string{"brest", "quimper", "vannes"}

const nodes = 3

// schedule is a run of several nodes and two operators over one log. Its
// methods named with a capital letter are the steps that rapid chooses from.
type schedule struct {
	log     *fakeLog
	now     time.Time
	down    bool // the log is not reachable
	outage  time.Duration
	states  map[instance.ID]*declarations.State
	shown   map[string]int // node and customer, and the rate last in force
	version map[instance.ID]stream.Position
	greeted map[instance.ID]stream.Position // newest version that a peer told of
	results map[stream.Position]string
	plans   [2]stream.Position // versions that the operators have seen
	count   int
	lost    []stream.Record // records whose answer was lost
}

func newSchedule() *schedule {
	s := &schedule{
		log: newLog(), now: start, states: make(map[instance.ID]*declarations.State),
		shown: make(map[string]int), version: make(map[instance.ID]stream.Position),
		greeted: make(map[instance.ID]stream.Position), results: make(map[stream.Position]string),
	}
	for n := range nodes {
		s.states[id(n)] = newState(n)
		follow(s.now, s.states[id(n)], s.log)
	}
	s.plans = [2]stream.Position{stream.At(1, -1), stream.At(1, -1)}
	return s
}

func (s *schedule) pick(t *rapid.T) (instance.ID, *declarations.State) {
	n := id(rapid.IntRange(0, nodes-1).Draw(t, "node"))
	return n, s.states[n]
}

func (s *schedule) readers() []instance.ID { return []instance.ID{id(0), id(1), id(2)} }

// Plan lets an operator look at what is in force at a node.
func (s *schedule) Plan(t *rapid.T) {
	_, state := s.pick(t)
	if v := state.Version(); !v.IsZero() {
		s.plans[rapid.IntRange(0, 1).Draw(t, "operator")] = v
	}
}

// Publish appends a change of one or two customers. Its answer may get lost.
func (s *schedule) Publish(t *rapid.T) {
	if s.down {
		return
	}
	operator := rapid.IntRange(0, 1).Draw(t, "operator")
	s.count++
	changed := rapid.SliceOfNDistinct(rapid.SampledFrom(names), 1, 2, rapid.ID[string]).Draw(t, "customers")
	var contracts []contract.Document
	var removed []string
	for i, customer := range changed {
		if i == 1 && s.count%3 == 0 {
			removed = append(removed, customer)
			continue
		}
		contracts = append(contracts, terms(customer, s.count))
	}
	record := stream.Record{ID: fmt.Sprint(s.count)}
	record.Data = change(t, s.plans[operator], fmt.Sprint(operator), contracts, removed...)
	s.log.append(s.now, record.ID, record.Data)
	if rapid.Bool().Draw(t, "lost") {
		s.lost = append(s.lost, record)
	}
}

// Resend appends a record whose answer was lost once more.
func (s *schedule) Resend(*rapid.T) {
	if s.down || len(s.lost) == 0 {
		return
	}
	s.log.append(s.now, s.lost[0].ID, s.lost[0].Data)
	s.lost = s.lost[1:]
}

// Read lets a node read a part of what is new.
func (s *schedule) Read(t *rapid.T) {
	_, state := s.pick(t)
	if !s.down {
		state.Log(s.now, s.log.read(state.From(), rapid.IntRange(1, 5).Draw(t, "limit")))
	}
}

// Gossip lets a node send what is due, and loses some of it.
func (s *schedule) Gossip(t *rapid.T) {
	from, state := s.pick(t)
	s.now = s.now.Add(time.Second)
	var kept []declarations.Send
	for _, m := range state.Tick(s.now, s.others(from), nil) {
		if rapid.IntRange(0, 3).Draw(t, "lost") > 0 {
			kept = append(kept, m)
		}
	}
	exchange(s.now, s.states, from, kept)
}

// Restart replaces a node by one that has nothing, while another one is up.
func (s *schedule) Restart(t *rapid.T) {
	n, _ := s.pick(t)
	ready, newest := 0, stream.Position{}
	for _, peer := range s.others(n) {
		if s.states[peer].Ready() {
			ready++
		}
		if v := s.states[peer].Version(); v.After(newest) {
			newest = v
		}
	}
	if ready < nodes-1 {
		return
	}
	state := newState(s.count + nodes)
	s.states[n], s.version[n], s.greeted[n] = state, stream.Position{}, newest
	for _, customer := range names {
		delete(s.shown, fmt.Sprint(n, customer))
	}
	var greetings []declarations.Send
	for _, peer := range s.others(n) {
		greetings = state.Greet(s.now, peer, greetings)
	}
	exchange(s.now, s.states, n, greetings)
}

// Wait lets time pass, in which the log trims and all nodes read it, unless it
// is down.
func (s *schedule) Wait(t *rapid.T) {
	d := time.Duration(rapid.IntRange(1, 100).Draw(t, "seconds")) * time.Second
	for end := s.now.Add(d); s.now.Before(end); s.now = s.now.Add(10 * time.Second) {
		s.repeat()
	}
	if s.down {
		s.outage += d
	}
	if s.outage > retention/8 {
		s.down, s.outage = false, 0
	}
	if !s.down {
		s.log.trim(s.now)
		s.readAll()
	}
}

// repeat lets each node hear from every other one, as digests do within a few
// seconds.
func (s *schedule) repeat() {
	for _, from := range s.readers() {
		var sends []declarations.Send
		for _, to := range s.others(from) {
			sends = s.states[from].Greet(s.now, to, sends)
		}
		exchange(s.now, s.states, from, sends)
	}
}

// Outage makes the log unreachable, or ends that.
func (s *schedule) Outage(*rapid.T) { s.down = !s.down }

// Replace loses the log, after all nodes have read it or while they are behind.
func (s *schedule) Replace(t *rapid.T) {
	if rapid.IntRange(0, 5).Draw(t, "rare") == 0 {
		s.log.replace()
	}
}

func (s *schedule) readAll() {
	for _, n := range s.readers() {
		follow(s.now, s.states[n], s.log)
		if data, due := s.states[n].Snapshot(s.now, s.readers()); due {
			s.log.append(s.now, "snapshot", data)
		}
	}
}

func (s *schedule) others(n instance.ID) []instance.ID {
	var others []instance.ID
	for _, r := range s.readers() {
		if r != n {
			others = append(others, r)
		}
	}
	return others
}

// check fails if something in force went back, or if two nodes judged a
// record differently.
func (s *schedule) check(t require.TestingT) {
	for _, n := range s.readers() {
		state := s.states[n]
		require.False(t, s.version[n].After(state.Version()), "version of %s went back", n)
		s.version[n] = state.Version()
		if state.Ready() {
			require.False(t, s.greeted[n].After(state.Version()), "%s is below a version of its peers", n)
		}
		for _, customer := range names {
			key, rate := fmt.Sprint(n, customer), rateOf(state, customer)
			if rate != 0 {
				require.GreaterOrEqual(t, rate, s.shown[key], "contract of %s went back at %s", customer, n)
				s.shown[key] = rate
			}
		}
		s.compare(t, state.Results())
	}
}

func (s *schedule) compare(t require.TestingT, results []declarations.Result) {
	for _, r := range results {
		if r.Record == "" {
			require.NoError(t, r.Err)
			continue
		}
		text := fmt.Sprint(r.Record, r.Err)
		if old, ok := s.results[r.Position]; ok {
			require.Equal(t, old, text, "outcome of the record at %s", r.Position)
		}
		s.results[r.Position] = text
	}
}

// settle brings the log back and lets the nodes catch up.
func (s *schedule) settle(t *rapid.T) {
	s.down = false
	for range 120 {
		s.now = s.now.Add(time.Second)
		s.readAll()
		s.check(t)
	}
}

// Guards against contracts in force going back, nodes that end up with
// different contracts, and records whose outcome depends on the node, under
// lost answers, trims, new generations, outages and restarts.
func TestRandomSchedule(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSchedule()
		t.Repeat(map[string]func(*rapid.T){
			"plan": s.Plan, "publish": s.Publish, "resend": s.Resend, "read": s.Read,
			"gossip": s.Gossip, "restart": s.Restart, "wait": s.Wait, "outage": s.Outage,
			"replace": s.Replace, "": func(t *rapid.T) { s.check(t) },
		})
		s.settle(t)
		late := newState(99)
		follow(s.now, late, s.log)
		for _, n := range s.readers() {
			state := s.states[n]
			require.True(t, state.Ready())
			require.Equal(t, late.Version(), state.Version())
			for _, customer := range names {
				require.Equal(t, rateOf(late, customer), rateOf(state, customer), customer)
			}
		}
	})
}

// verdict records whether a check failed.
type verdict struct{ failed bool }

func (v *verdict) Errorf(string, ...any) { v.failed = true }

func (v *verdict) FailNow() {}

// Guards against a check that passes whatever the nodes do.
func TestCheckFindsFaults(t *testing.T) {
	for name, fault := range map[string]func(*schedule){
		"none":     func(*schedule) {},
		"version":  func(s *schedule) { s.version[id(0)] = stream.At(9, 0) },
		"contract": func(s *schedule) { s.shown[fmt.Sprint(id(0), "brest")] = 2 },
		"outcome":  func(s *schedule) { s.results[stream.At(1, 0)] = "other" },
		"greeting": func(s *schedule) { s.greeted[id(0)] = stream.At(9, 0) },
	} {
		s, v := newSchedule(), &verdict{}
		s.log.append(s.now, "1", change(t, s.plans[0], "anna", []contract.Document{terms("brest", 1)}))
		s.readAll()
		fault(s)
		s.check(v)
		require.Equal(t, name != "none", v.failed, name)
	}
}
